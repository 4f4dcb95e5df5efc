import process from 'node:process';
import winston from 'winston';
import {createBoundedOutput} from './bounded-output.js';

/** Levels that a log line may have. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Logger of one process; each line is a JSON object. */
export type Logger = winston.Logger;

const defaultMaxBacklogBytes = 262_144;

/**
 * Creates a logger that writes to standard output and never waits for its reader.
 * @param program - name of the program
 * @param maxBacklogBytes - output that may wait for the reader; lines beyond it are dropped and counted
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
