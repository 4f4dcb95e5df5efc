#!/usr/bin/env node
// eslint-disable-next-line import-x/no-unassigned-import -- installs the SIGHUP listener
import './reload-signal.js';

// Loaded afterwards, since a SIGHUP may arrive while the many other modules are being loaded.
await import('./front/run-front.js');
