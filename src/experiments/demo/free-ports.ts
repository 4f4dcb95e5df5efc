import process from 'node:process';
import {findFreePorts} from '../fakes/index.js';

// Prints free loopback ports; the first argument is their number.
const ports = await findFreePorts(Number(process.argv[2]));
process.stdout.write(ports.join(' ') + '\n');
