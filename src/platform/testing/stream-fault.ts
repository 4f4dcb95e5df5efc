import type {ServerResponse} from 'node:http';

/**
 * What is wrong with the streams of an engine: damaged bytes in some events, small units without end, or resets
 * of their connections as soon as the runs begin, whether the engine has a copy to continue them from or not.
 */
export type StreamFault = 'damaged' | 'dropped' | 'endless';

/** One event in so many is damaged. */
const damagedInterval = 7;
/** Damages to the framing of an event: its id, its data field, its end. */
const damages: ReadonlyArray<readonly [RegExp, string]> = [
	[/^id/, 'i~'],
	[/^id: \d/, 'id: 0'],
	[/^data/m, ':ata'],
	[/\n\n$/, '\n~'],
	[/\n\n$/, '~\n'],
];

/**
 * Damages every seventh event.
 * @param event - id of the event
 * @returns its text as sent
 */
export function damageEvent(text: string, event: number): string {
	if (event % damagedInterval !== 0) {
		return text;
	}

	const [pattern, replacement] =
		damages[(event / damagedInterval) % damages.length];
	return text.replace(pattern, replacement);
}

const smallUnits = ':\n\ndata:\n\n'.repeat(2000);

/** Writes comments and small events until the connection is closed. */
export function writeWithoutEnd(response: ServerResponse) {
	const write = () => {
		if (!response.destroyed && !response.writableNeedDrain) {
			response.write(smallUnits);
			setImmediate(write);
		}
	};

	response.on('drain', write);
	write();
}
