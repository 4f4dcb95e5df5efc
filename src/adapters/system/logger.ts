import process from 'node:process';
import winston from 'winston';
import {createBoundedOutput} from './bounded-output.js';

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Logger of a process; writes each line as a JSON object. */
export type Logger = winston.Logger;

const defaultMaxBacklogBytes = 262_144;

/**
 * Creates a logger that writes to standard output and never waits for its reader.
 * @param program - name of the program, included in each line
 * @param level - least severe level that is written
 * @param maxBacklogBytes - bytes that may be buffered for the reader; lines beyond them are dropped and counted
 */
export function createLogger(
	program: string,
	level: LogLevel,
	maxBacklogBytes = defaultMaxBacklogBytes,
): Logger {
	const output = createBoundedOutput(process.stdout, maxBacklogBytes);
	return winston.createLogger({
		level,
		defaultMeta: {program},
		format: winston.format.combine(
			winston.format.timestamp(),
			winston.format.json(),
		),
		transports: [new winston.transports.Stream({stream: output.stream})],
	});
}
