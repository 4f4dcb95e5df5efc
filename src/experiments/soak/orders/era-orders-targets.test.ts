import {eraScenarios} from './era-scenarios.js';
import {exploreInTests} from './explore-in-tests.js';

// Departures and arrivals of targets; a file of its own, so that the files run side by side within the time limit of a file.
exploreInTests(eraScenarios.slice(3));
