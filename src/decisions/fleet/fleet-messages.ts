import {ProblemError} from '../../common/index.js';
import type {
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../scheduling/index.js';
import {FieldReader} from './field-reader.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberInfo, StoreReadState, TableSyncState} from './types.js';

const readings: readonly StoreReadState[] = ['idle', 'lost', 'reading'];

const encodeMember = (member: MemberInfo) => [
	member.address,
	member.availabilityZone,
	member.instanceId,
	Math.round(member.cpuMsPerSecond),
	readings.indexOf(member.storeReadState),
];

function readMember(fields: FieldReader): MemberInfo {
	return {
		address: fields.string(),
		availabilityZone: fields.string(),
		instanceId: fields.string(),
		cpuMsPerSecond: fields.number(),
		storeReadState: readings[fields.number()] ?? 'lost',
	};
}

const encodeTable = ({version, changeVersion, ageMs}: TableSyncState) => [
	version,
	changeVersion,
	Math.round(Math.min(ageMs, maxAgeMs)),
];

/** Ages are finite on the wire. */
const maxAgeMs = 1e9;

function readTable(fields: FieldReader): TableSyncState {
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
		id: fields.string(),
		targetId: fields.string(),
		copyTargetId: fields.optionalString(),
		promptTokens: fields.number(),
		doneTokens: fields.number(),
		remainingTokens: fields.number(),
		priority: fields.number(),
	};
}

const encodeDemand = (demand: PlacementRequest) => [
	demand.id,
	demand.service,
	demand.purpose === 'run' ? 1 : 0,
	demand.promptTokens,
	Math.round(demand.expectedTokens),
	Math.round(demand.doneTokens),
	demand.preferredZone,
	demand.excludedTargetIds,
	Math.round(demand.previousWaitMs),
	Math.round(demand.waitedMs),
	Math.round(demand.objectiveMs),
	Math.round(demand.remainingMs),
	demand.priority,
];

function readDemand(fields: FieldReader): PlacementRequest {
	return {
		id: fields.string(),
		service: fields.string(),
		purpose: fields.boolean() ? 'run' : 'copy',
		promptTokens: fields.number(),
		expectedTokens: fields.number(),
		doneTokens: fields.number(),
		preferredZone: fields.string(),
		excludedTargetIds: fields.strings(),
		previousWaitMs: fields.number(),
		waitedMs: fields.number(),
		objectiveMs: fields.number(),
		remainingMs: fields.number(),
		priority: fields.number(),
	};
}

const encodeAnswer = (answer: PlacementDecision) => {
	switch (answer.outcome) {
		case 'placed': {
			const {placement} = answer;
			return [
				'p',
				placement.targetId,
				placement.copyTargetId ?? null,
				Math.round(placement.firstTokenMs),
				Number(placement.memoryFraction.toFixed(2)),
				placement.isLate ? 1 : 0,
			];
		}

		case 'waiting': {
			return ['w', answer.waitingCount];
		}

		case 'refused': {
			return ['r', answer.reason, Math.round(answer.retryAfterMs)];
		}
	}
};

function readAnswer(fields: FieldReader): PlacementDecision {
	const outcome = fields.string();
	switch (outcome) {
		case 'p': {
			return {
				outcome: 'placed',
				placement: {
					targetId: fields.string(),
					copyTargetId: fields.optionalString(),
					firstTokenMs: fields.number(),
					memoryFraction: fields.number(),
					isLate: fields.boolean(),
				},
			};
		}

		case 'w': {
			return {outcome: 'waiting', waitingCount: fields.number()};
		}

		case 'r': {
			return {
				outcome: 'refused',
				reason: fields.string(),
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
			return JSON.stringify(['p', encodeDemand(message.request)]);
		}

		case 'placed': {
			return JSON.stringify(['a', message.id, encodeAnswer(message.decision)]);
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
	const kind = fields.string();
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
				ended: fields.strings(),
			};
		}

		case 'p': {
			return {
				kind: 'place',
				request: readDemand(FieldReader.of(fields.value())),
			};
		}

		case 'a': {
			return {
				kind: 'placed',
				id: fields.string(),
				decision: readAnswer(FieldReader.of(fields.value())),
			};
		}

		case 'c': {
			return {kind: 'cancel', id: fields.string()};
		}

		case 't': {
			return {kind: 'retry', id: fields.string(), service: fields.string()};
		}

		case 'g': {
			return {
				kind: 'retry-answer',
				id: fields.string(),
				isGranted: fields.boolean(),
			};
		}

		default: {
			throw new ProblemError('peer-protocol', `kind "${kind}" is not known`);
		}
	}
}
