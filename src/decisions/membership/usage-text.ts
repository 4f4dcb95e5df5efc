import type {SharedEntry} from './types.js';

/**
 * Text form of usage entries, about half as long as their JSON fields. An entry is the length of its key, the
 * key, counter, age in minutes, tokens charged, and three rates or estimates of two characters each. Charged
 * tokens stay exact because floors count them; the others are rounded to steps of 0.7 %.
 */
const alphabet =
	'0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_';
const digits = new Map(
	Array.from(alphabet, (one, index): [string, number] => [one, index]),
);
const base = 64;
const digitBase = 32;
const valueCount = 5;
const maxKeyLength = base - 1;
const maxAgeMinutes = digitBase - 1;
const levels = base * base;
const leastValue = 0.05;
const largestValue = 1e11;
const levelRatio = Math.log(largestValue / leastValue) / (levels - 2);
const roundedCount = 3;
const roundedPrecision = 4;

/** What a text holds of an entry. */
export type UsageTextEntry = Pick<SharedEntry, 'key' | 'counter' | 'values'>;

const isWhole = (value: number) => Number.isSafeInteger(value) && value >= 0;

/** True if an entry can be written as text in a message of this base minute. */
export function fitsUsageText(entry: SharedEntry, minute: number): boolean {
	const {kind, key, values} = entry;
	return (
		kind === 'usage' &&
		values.length === valueCount &&
		key.length <= maxKeyLength &&
		isWhole(values[0]) &&
		isWhole(values[1]) &&
		values[0] <= minute &&
		minute - values[0] <= maxAgeMinutes &&
		Math.min(values[2], values[3], values[4]) >= 0 &&
		Math.max(values[2], values[3], values[4]) < largestValue
	);
}

// Five bits a character, the sixth says that more follow.
function writeWhole(value: number): string {
	let text = '';
	let left = value;
	while (left >= digitBase) {
		text += alphabet[digitBase + (left % digitBase)];
		left = Math.floor(left / digitBase);
	}

	return text + alphabet[left];
}

function writeRounded(value: number): string {
	const level =
		value < leastValue
			? 0
			: 1 + Math.round(Math.log(value / leastValue) / levelRatio);
	return alphabet[Math.floor(level / base)] + alphabet[level % base];
}

function valueOfLevel(level: number): number {
	return level === 0
		? 0
		: Number(
				(leastValue * Math.exp((level - 1) * levelRatio)).toPrecision(
					roundedPrecision,
				),
			);
}

function wholeLength(value: number): number {
	let length = 1;
	for (
		let left = value;
		left >= digitBase;
		left = Math.floor(left / digitBase)
	) {
		length++;
	}

	return length;
}

/** Length of the text of an entry whose age is 0, without writing it. */
export function usageTextLength({
	key,
	counter,
	values,
}: UsageTextEntry): number {
	return (
		2 +
		key.length +
		wholeLength(counter) +
		wholeLength(values[1]) +
		2 * roundedCount
	);
}

/** Writes an entry for which `fitsUsageText` holds. */
export function writeUsageText(entry: SharedEntry, minute: number): string {
	const {key, counter, values} = entry;
	const [entryMinute, chargedTokens, ...rounded] = values;
	return [
		alphabet[key.length],
		key,
		writeWhole(counter),
		writeWhole(minute - entryMinute),
		writeWhole(chargedTokens),
		...rounded.map((value) => writeRounded(value)),
	].join('');
}

/**
 * Reads the entries of a text.
 * @returns undefined if the text is malformed
 */
export function readUsageText(
	text: string,
	minute: number,
): UsageTextEntry[] | undefined {
	const entries: UsageTextEntry[] = [];
	let at = 0;
	const digit = () => digits.get(text[at++]) ?? Number.NaN;
	const readWhole = () => {
		let value = 0;
		let scale = 1;
		let next = digit();
		while (next >= digitBase) {
			value += (next - digitBase) * scale;
			scale *= digitBase;
			next = digit();
		}

		return value + next * scale;
	};

	while (at < text.length) {
		const keyLength = digit();
		const key = text.slice(at, at + keyLength);
		at += keyLength;
		const counter = readWhole();
		const values = [minute - readWhole(), readWhole()];
		for (let index = 0; index < roundedCount; index++) {
			const high = digit();
			values.push(valueOfLevel(high * base + digit()));
		}

		if (
			key === '' ||
			![counter, ...values.slice(0, 2)].every((one) => isWhole(one))
		) {
			return undefined;
		}

		if (values.some((value) => Number.isNaN(value))) {
			return undefined;
		}

		entries.push({key, counter, values});
	}

	return entries;
}
