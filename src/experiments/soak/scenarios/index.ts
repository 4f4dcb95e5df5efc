import type {SoakScenario} from '../soak-scenario.js';
import {ConfigurationScenario} from './configuration-scenario.js';
import {StreamScenario} from './stream-scenario.js';

/** Every scenario of the soak, in the order in which each run executes them. */
export const allScenarios: ReadonlyArray<SoakScenario<unknown>> = [
	new ConfigurationScenario(),
	new StreamScenario(),
];
