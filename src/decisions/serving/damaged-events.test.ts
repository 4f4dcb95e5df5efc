import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createParser} from 'eventsource-parser';
import {
	fakeResponseHead,
	type FakeSend,
	startTestStream,
	testEngines,
} from '../../experiments/fakes/index.js';

const [, secondEngine] = testEngines;
const eventCount = 12;
/** The first event, one in the middle whose neighbour has more digits, and the last. */
const damagedIds = [1, 9, eventCount];
const replacements = [':', '\n', '\r', ' ', 'x', '~', '0', '1', '9'];

const eventText = (id: number) => `id: ${id}\ndata: piece ${id};\n\n`;

function eventTexts(firstId: number): string[] {
	return Array.from({length: eventCount - firstId + 1}, (_, index) =>
		eventText(firstId + index),
	);
}

/** Positions of the bytes of an event that are not of its piece. */
function framingPositions(text: string): number[] {
	const pieceStart = text.indexOf('piece');
	const pieceEnd = text.indexOf(';') + 1;
	return Array.from(text, (_, position) => position).filter(
		(position) => position < pieceStart || position >= pieceEnd,
	);
}

const replaceAt = (text: string, position: number, replacement: string) =>
	text.slice(0, position) + replacement + text.slice(position + 1);

/** An event with one byte replaced, lost or doubled. */
function damagedOnce(text: string): string[] {
	return framingPositions(text).flatMap((position) => [
		...replacements.map((replacement) =>
			replaceAt(text, position, replacement),
		),
		replaceAt(text, position, ''),
		replaceAt(text, position, text[position].repeat(2)),
	]);
}

/** An event with a byte replaced in each of its lines, so that it looks like something else. */
function damagedTwice(text: string): string[] {
	const secondLine = text.indexOf('\n') + 1;
	return replacements.flatMap((first) =>
		replacements.map((second) =>
			replaceAt(replaceAt(text, 0, first), secondLine, second),
		),
	);
}

function respond({listener}: FakeSend, texts: readonly string[]) {
	listener.onHead(fakeResponseHead('q1'));
	listener.onData(new TextEncoder().encode(texts.join('')));
	listener.onEnd();
}

/** Pieces in the text of a response, as a caller reads them. */
function readPieces(text: string): string[] {
	const pieces: string[] = [];
	const parser = createParser({
		onEvent({data}) {
			// A damaged byte next to the piece counts as data.
			pieces.push(...(data.match(/piece \d+;/g) ?? [data]));
		},
	});
	parser.feed(text);
	return pieces;
}

const allPieces = Array.from(
	{length: eventCount},
	(_, index) => `piece ${index + 1};`,
);

/** Plays a stream whose first engine sends the texts; the run can continue at the engine with the copy. */
function play(texts: readonly string[]) {
	const {targetClient, response} = startTestStream({backup: secondEngine});
	respond(targetClient.sends[0], texts);
	const continued = targetClient.sends.at(1);
	if (continued) {
		const lastId = Number(continued.options.lastEventId ?? 0);
		respond(continued, eventTexts(lastId + 1));
	}

	return {response, hasContinued: continued !== undefined};
}

function assertWholeOrBroken(texts: readonly string[], damage: string) {
	const {response} = play(texts);
	if (response.ending !== 'whole') {
		return;
	}

	const raw = [...response.text.matchAll(/piece \d+;/g)].map(
		([piece]) => piece,
	);
	assert.deepEqual(raw, allPieces, damage);
	assert.deepEqual(readPieces(response.text), allPieces, damage);
}

for (const [name, damage] of [
	['one byte', damagedOnce],
	['two bytes', damagedTwice],
] as const) {
	test(`a stream with ${name} of an event's framing damaged has each piece once and in order, or breaks (review case 3)`, () => {
		for (const id of damagedIds) {
			for (const damaged of damage(eventText(id))) {
				const texts = eventTexts(1);
				texts[id - 1] = damaged;
				assertWholeOrBroken(texts, JSON.stringify(damaged));
			}
		}
	});
}

test('a run is continued behind the last event that the caller has when the id of the next one is damaged (review case 3)', () => {
	const texts = eventTexts(1);
	texts[7] = texts[7].replace('id', 'i~');
	const {response, hasContinued} = play(texts);
	assert.equal(hasContinued, true);
	assert.deepEqual(
		[response.ending, response.text],
		['whole', eventTexts(1).join('')],
	);
});

test('a sound stream with comments, blank lines, other fields and CRLF reaches the caller unchanged', () => {
	const texts = eventTexts(1);
	texts[2] = `: wait\n\n\n${texts[2]}`;
	texts[4] = `event: token\nretry: 10\n${texts[4]}`;
	texts[6] = texts[6].replaceAll('\n', '\r\n');
	const {response, hasContinued} = play(texts);
	assert.equal(hasContinued, false);
	assert.deepEqual([response.ending, response.text], ['whole', texts.join('')]);
});
