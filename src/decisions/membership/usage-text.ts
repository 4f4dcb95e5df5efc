import type {SharedEntry} from './types.js';

// Text encoding of usage entries, about half as long as their JSON fields. An entry consists of the length of
// its key, the key, the counter, the age in minutes, the charged tokens, and three rates or estimates of two
// characters each. Charged tokens are exact, since contract floors are checked against them; the other values
// are rounded on a logarithmic scale in steps of 0.7 %.
const alphabet =
	'0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_';
const digitByChar = new Map(
	Array.from(alphabet, (char, index): [string, number] => [char, index]),
);
const radix = 64;
const wholeNumberRadix = 32;
const valueCount = 5;
const maxKeyLength = radix - 1;
const maxAgeMinutes = wholeNumberRadix - 1;
const levelCount = radix * radix;
const minValue = 0.05;
const valueLimit = 1e11;
const logStep = Math.log(valueLimit / minValue) / (levelCount - 2);
const roundedCount = 3;
const significantDigits = 4;

/** Fields of an entry that the text encodes. */
export type UsageTextEntry = Pick<SharedEntry, 'key' | 'counter' | 'values'>;

const isWhole = (value: number) => Number.isSafeInteger(value) && value >= 0;

/**
 * True if an entry can be encoded as text.
 * @param baseMinute - calendar minute relative to which ages are encoded
 */
export function fitsUsageText(entry: SharedEntry, baseMinute: number): boolean {
	const {kind, key, values} = entry;
	return (
		kind === 'usage' &&
		values.length === valueCount &&
		key.length <= maxKeyLength &&
		isWhole(values[0]) &&
		isWhole(values[1]) &&
		values[0] <= baseMinute &&
		baseMinute - values[0] <= maxAgeMinutes &&
		Math.min(values[2], values[3], values[4]) >= 0 &&
		Math.max(values[2], values[3], values[4]) < valueLimit
	);
}

// Each character holds five bits of the number; the sixth bit is set if more characters follow.
function writeWhole(value: number): string {
	let text = '';
	let remaining = value;
	while (remaining >= wholeNumberRadix) {
		text += alphabet[wholeNumberRadix + (remaining % wholeNumberRadix)];
		remaining = Math.floor(remaining / wholeNumberRadix);
	}

	return text + alphabet[remaining];
}

function writeRounded(value: number): string {
	const level =
		value < minValue ? 0 : 1 + Math.round(Math.log(value / minValue) / logStep);
	return alphabet[Math.floor(level / radix)] + alphabet[level % radix];
}

function valueOfLevel(level: number): number {
	return level === 0
		? 0
		: Number(
				(minValue * Math.exp((level - 1) * logStep)).toPrecision(
					significantDigits,
				),
			);
}

function wholeLength(value: number): number {
	let length = 1;
	for (
		let remaining = value;
		remaining >= wholeNumberRadix;
		remaining = Math.floor(remaining / wholeNumberRadix)
	) {
		length++;
	}

	return length;
}

/** Length of the text of an entry with age 0, computed without encoding it. */
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

/** Encodes an entry for which `fitsUsageText` holds. */
export function writeUsageText(entry: SharedEntry, baseMinute: number): string {
	const {key, counter, values} = entry;
	const [entryMinute, chargedTokens, ...rounded] = values;
	return [
		alphabet[key.length],
		key,
		writeWhole(counter),
		writeWhole(baseMinute - entryMinute),
		writeWhole(chargedTokens),
		...rounded.map((value) => writeRounded(value)),
	].join('');
}

/**
 * Decodes the entries of a text.
 * @returns undefined if the text is malformed
 */
export function readUsageText(
	text: string,
	baseMinute: number,
): UsageTextEntry[] | undefined {
	const entries: UsageTextEntry[] = [];
	let offset = 0;
	const digit = () => digitByChar.get(text[offset++]) ?? Number.NaN;
	const readWhole = () => {
		let value = 0;
		let scale = 1;
		let next = digit();
		while (next >= wholeNumberRadix) {
			value += (next - wholeNumberRadix) * scale;
			scale *= wholeNumberRadix;
			next = digit();
		}

		return value + next * scale;
	};

	while (offset < text.length) {
		const keyLength = digit();
		const key = text.slice(offset, offset + keyLength);
		offset += keyLength;
		const counter = readWhole();
		const values = [baseMinute - readWhole(), readWhole()];
		for (let index = 0; index < roundedCount; index++) {
			const high = digit();
			values.push(valueOfLevel(high * radix + digit()));
		}

		if (
			key === '' ||
			![counter, ...values.slice(0, 2)].every((value) => isWhole(value))
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
