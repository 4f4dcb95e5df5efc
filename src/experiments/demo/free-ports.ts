import process from 'node:process';
import {findFreePorts} from '../fakes/index.js';

// Prints as many free loopback ports as the first argument asks for.
const ports = await findFreePorts(Number(process.argv[2]));
process.stdout.write(ports.join(' ') + '\n');
