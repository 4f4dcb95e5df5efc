import type {SoakScenario} from '../soak-scenario.js';
import {BookingScenario} from './booking-scenario.js';
import {ConfigurationScenario} from './configuration-scenario.js';
import {OrderScenario} from './order-scenario.js';
import {MembershipScenario} from './membership-scenario.js';
import {StreamScenario} from './stream-scenario.js';
import {RoutingScenario} from './routing-scenario.js';

/** Every scenario of the soak, in the order in which each run executes them. */
export const allScenarios: ReadonlyArray<SoakScenario<unknown>> = [
	new ConfigurationScenario(),
	new BookingScenario(),
	new OrderScenario(),
	new MembershipScenario(),
	new StreamScenario(),
	new RoutingScenario(),
];
