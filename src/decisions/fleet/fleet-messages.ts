import {ProblemError} from '../../common/index.js';
import type {PlaceAnswer, PlaceDemand, RunState} from '../scheduling/index.js';
import type {MemberMark, StoreReading, TableMark} from './types.js';

/** Sent by each VM to the accountants at a steady pace, with all its runs. */
export type Heartbeat = {
	readonly kind: 'heartbeat';
	readonly sender: MemberMark;
	readonly sequence: number;
	readonly configuration: TableMark;
	readonly targets: TableMark;
	readonly runs: readonly RunState[];
};

/** What the coordinator tells all VMs, and any VM one that asks the wrong one. */
export type Beacon = {
	readonly kind: 'beacon';
	readonly sender: MemberMark;
	readonly sequence: number;
	readonly vmCount: number;
	/** First members in the order of duties, each with the time since it was heard, in milliseconds. */
	readonly members: ReadonlyArray<readonly [MemberMark, number]>;
	readonly configuration: TableMark;
	readonly targets: TableMark;
};

/** Runs that began, moved or ended since the last heartbeat. */
export type RunUpdate = {
	readonly kind: 'run-update';
	readonly set: readonly RunState[];
	readonly ended: readonly string[];
};

/** A demand for an engine. */
export type PlaceAsk = {
	readonly kind: 'place';
	readonly demand: PlaceDemand;
};

/** Answer to a demand. */
export type PlaceReply = {
	readonly kind: 'placed';
	readonly id: string;
	readonly answer: PlaceAnswer;
};

/** A demand, or what was reserved for it, is of no use. */
export type PlaceCancel = {
	readonly kind: 'cancel';
	readonly id: string;
};

/** Asks for a repeated send beyond the share of the sender. */
export type RetryAsk = {
	readonly kind: 'retry';
	readonly id: string;
	readonly service: string;
};

/** Answer to it. */
export type RetryReply = {
	readonly kind: 'retry-answer';
	readonly id: string;
	readonly isGranted: boolean;
};

/** Messages between VMs about duties, runs, placements and repeated sends. */
export type FleetMessage =
	| Beacon
	| Heartbeat
	| PlaceAsk
	| PlaceCancel
	| PlaceReply
	| RetryAsk
	| RetryReply
	| RunUpdate;

const readings: readonly StoreReading[] = ['idle', 'lost', 'reading'];

/** Takes the fields of a message from a list, one after the other. */
class FieldReader {
	static of(value: unknown): FieldReader {
		if (!Array.isArray(value)) {
			throw new ProblemError('peer-protocol', 'a list of fields is expected');
		}

		return new FieldReader(value);
	}

	private next = 0;

	constructor(private readonly fields: readonly unknown[]) {}

	value(): unknown {
		return this.fields[this.next++];
	}

	text(): string {
		const value = this.value();
		if (typeof value !== 'string') {
			throw this.problem('a text');
		}

		return value;
	}

	optionalText(): string | undefined {
		const value = this.value();
		if (value !== null && typeof value !== 'string') {
			throw this.problem('a text or null');
		}

		return value ?? undefined;
	}

	number(): number {
		const value = this.value();
		if (typeof value !== 'number' || !Number.isFinite(value)) {
			throw this.problem('a number');
		}

		return value;
	}

	isTrue(): boolean {
		return this.number() !== 0;
	}

	list<T>(read: (fields: FieldReader) => T): T[] {
		const value = this.value();
		if (!Array.isArray(value)) {
			throw this.problem('a list');
		}

		return value.map((one) => read(FieldReader.of(one)));
	}

	texts(): string[] {
		const value = this.value();
		if (!Array.isArray(value) || value.some((one) => typeof one !== 'string')) {
			throw this.problem('a list of texts');
		}

		return value as string[];
	}

	private problem(expected: string): ProblemError {
		return new ProblemError(
			'peer-protocol',
			`field ${this.next} of a message between VMs is not ${expected}`,
		);
	}
}

const encodeMember = (member: MemberMark) => [
	member.address,
	member.availabilityZone,
	member.instanceId,
	Math.round(member.powerMs),
	readings.indexOf(member.reading),
];

function readMember(fields: FieldReader): MemberMark {
	return {
		address: fields.text(),
		availabilityZone: fields.text(),
		instanceId: fields.text(),
		powerMs: fields.number(),
		reading: readings[fields.number()] ?? 'lost',
	};
}

const encodeTable = ({version, changeVersion, ageMs}: TableMark) => [
	version,
	changeVersion,
	Math.round(Math.min(ageMs, maxAgeMs)),
];

/** Ages are finite on the wire. */
const maxAgeMs = 1e9;

function readTable(fields: FieldReader): TableMark {
	return {
		version: fields.number(),
		changeVersion: fields.number(),
		ageMs: fields.number(),
	};
}

const encodeRun = (run: RunState) => [
	run.id,
	run.targetId,
	run.copyTargetId ?? null,
	run.promptTokens,
	Math.round(run.doneTokens),
	Math.round(run.remainingTokens),
	run.priority,
];

function readRun(fields: FieldReader): RunState {
	return {
		id: fields.text(),
		targetId: fields.text(),
		copyTargetId: fields.optionalText(),
		promptTokens: fields.number(),
		doneTokens: fields.number(),
		remainingTokens: fields.number(),
		priority: fields.number(),
	};
}

const encodeDemand = (demand: PlaceDemand) => [
	demand.id,
	demand.service,
	demand.purpose === 'run' ? 1 : 0,
	demand.promptTokens,
	Math.round(demand.expectedTokens),
	Math.round(demand.doneTokens),
	demand.nearZone,
	demand.avoid,
	Math.round(demand.elapsedMs),
	Math.round(demand.waitedMs),
	Math.round(demand.objectiveMs),
	Math.round(demand.leftMs),
	demand.priority,
];

function readDemand(fields: FieldReader): PlaceDemand {
	return {
		id: fields.text(),
		service: fields.text(),
		purpose: fields.isTrue() ? 'run' : 'copy',
		promptTokens: fields.number(),
		expectedTokens: fields.number(),
		doneTokens: fields.number(),
		nearZone: fields.text(),
		avoid: fields.texts(),
		elapsedMs: fields.number(),
		waitedMs: fields.number(),
		objectiveMs: fields.number(),
		leftMs: fields.number(),
		priority: fields.number(),
	};
}

const encodeAnswer = (answer: PlaceAnswer) => {
	switch (answer.outcome) {
		case 'placed': {
			const {placement} = answer;
			return [
				'p',
				placement.targetId,
				placement.copyTargetId ?? null,
				Math.round(placement.firstTokenMs),
				Number(placement.memoryPart.toFixed(2)),
				placement.isLate ? 1 : 0,
			];
		}

		case 'waiting': {
			return ['w', answer.ahead];
		}

		case 'refused': {
			return ['r', answer.reason, Math.round(answer.retryAfterMs)];
		}
	}
};

function readAnswer(fields: FieldReader): PlaceAnswer {
	const outcome = fields.text();
	switch (outcome) {
		case 'p': {
			return {
				outcome: 'placed',
				placement: {
					targetId: fields.text(),
					copyTargetId: fields.optionalText(),
					firstTokenMs: fields.number(),
					memoryPart: fields.number(),
					isLate: fields.isTrue(),
				},
			};
		}

		case 'w': {
			return {outcome: 'waiting', ahead: fields.number()};
		}

		case 'r': {
			return {
				outcome: 'refused',
				reason: fields.text(),
				retryAfterMs: fields.number(),
			};
		}

		default: {
			throw new ProblemError('peer-protocol', 'an answer has no known outcome');
		}
	}
}

/** Encodes a message as a list of fields that starts with its kind. */
export function encodeFleetMessage(message: FleetMessage): string {
	switch (message.kind) {
		case 'heartbeat': {
			return JSON.stringify([
				'h',
				encodeMember(message.sender),
				message.sequence,
				encodeTable(message.configuration),
				encodeTable(message.targets),
				message.runs.map((run) => encodeRun(run)),
			]);
		}

		case 'beacon': {
			return JSON.stringify([
				'b',
				encodeMember(message.sender),
				message.sequence,
				message.vmCount,
				message.members.map(([member, ageMs]) => [
					...encodeMember(member),
					Math.round(ageMs),
				]),
				encodeTable(message.configuration),
				encodeTable(message.targets),
			]);
		}

		case 'run-update': {
			return JSON.stringify([
				'u',
				message.set.map((run) => encodeRun(run)),
				message.ended,
			]);
		}

		case 'place': {
			return JSON.stringify(['p', encodeDemand(message.demand)]);
		}

		case 'placed': {
			return JSON.stringify(['a', message.id, encodeAnswer(message.answer)]);
		}

		case 'cancel': {
			return JSON.stringify(['c', message.id]);
		}

		case 'retry': {
			return JSON.stringify(['t', message.id, message.service]);
		}

		case 'retry-answer': {
			return JSON.stringify(['g', message.id, Number(message.isGranted)]);
		}
	}
}

/**
 * Decodes a message.
 * @param value - parsed JSON
 * @throws ProblemError `peer-protocol`
 */
export function decodeFleetMessage(value: unknown): FleetMessage {
	const fields = FieldReader.of(value);
	const kind = fields.text();
	switch (kind) {
		case 'h': {
			return {
				kind: 'heartbeat',
				sender: readMember(FieldReader.of(fields.value())),
				sequence: fields.number(),
				configuration: readTable(FieldReader.of(fields.value())),
				targets: readTable(FieldReader.of(fields.value())),
				runs: fields.list(readRun),
			};
		}

		case 'b': {
			return {
				kind: 'beacon',
				sender: readMember(FieldReader.of(fields.value())),
				sequence: fields.number(),
				vmCount: fields.number(),
				members: fields.list(
					(member) => [readMember(member), member.number()] as const,
				),
				configuration: readTable(FieldReader.of(fields.value())),
				targets: readTable(FieldReader.of(fields.value())),
			};
		}

		case 'u': {
			return {
				kind: 'run-update',
				set: fields.list(readRun),
				ended: fields.texts(),
			};
		}

		case 'p': {
			return {
				kind: 'place',
				demand: readDemand(FieldReader.of(fields.value())),
			};
		}

		case 'a': {
			return {
				kind: 'placed',
				id: fields.text(),
				answer: readAnswer(FieldReader.of(fields.value())),
			};
		}

		case 'c': {
			return {kind: 'cancel', id: fields.text()};
		}

		case 't': {
			return {kind: 'retry', id: fields.text(), service: fields.text()};
		}

		case 'g': {
			return {
				kind: 'retry-answer',
				id: fields.text(),
				isGranted: fields.isTrue(),
			};
		}

		default: {
			throw new ProblemError('peer-protocol', `kind "${kind}" is not known`);
		}
	}
}
