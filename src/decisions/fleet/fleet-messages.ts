import {ProblemError} from '../../common/index.js';
import type {PlaceAnswer, PlaceDemand, RunState} from '../scheduling/index.js';
import {FieldReader} from './field-reader.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberMark, StoreReading, TableMark} from './types.js';

const readings: readonly StoreReading[] = ['idle', 'lost', 'reading'];

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
