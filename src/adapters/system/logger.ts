import winston from 'winston';

/** Levels that a log line may have. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Logger of one process; lines are JSON and tell of changes of state only. */
export type Logger = winston.Logger;

/**
 * Creates a logger that writes to standard error.
 * @param program - name of the program
 */
export function createLogger(program: string, level: LogLevel): Logger {
	return winston.createLogger({
		level,
		defaultMeta: {program},
		format: winston.format.combine(
			winston.format.timestamp(),
			winston.format.json(),
		),
		transports: [
			new winston.transports.Console({
				stderrLevels: ['error', 'warn', 'info', 'debug'],
			}),
		],
	});
}
