#!/usr/bin/env node
// eslint-disable-next-line import-x/no-unassigned-import -- handles signals from here on
import './reload-signal.js';

// Reading the other modules one by one takes a while, in which a signal may arrive.
await import('./front/run-front.js');
