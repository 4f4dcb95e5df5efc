import {ProblemError} from '../../common/index.js';
import type {
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../scheduling/index.js';
import {decodePartReport, encodePartReport} from './crash-evidence-messages.js';
import {FieldReader} from './field-reader.js';
import type {FleetMessage} from './fleet-message-types.js';
import {
	decodePermitDecision,
	decodePermitRequest,
	decodeRateLimitReport,
	encodePermitDecision,
	encodePermitRequest,
	encodeRateLimitReport,
} from './rate-limit-messages.js';
import type {MemberInfo, StoreReadState, TableSyncState} from './types.js';

/** The index of a state is its value on the wire. */
const storeReadStates: readonly StoreReadState[] = ['idle', 'lost', 'reading'];

const encodeMember = (member: MemberInfo) => [
	member.address,
	member.availabilityZone,
	member.instanceId,
	Math.round(member.cpuMsPerSecond),
	storeReadStates.indexOf(member.storeReadState),
];

function decodeMember(fields: FieldReader): MemberInfo {
	return {
		address: fields.string(),
		availabilityZone: fields.string(),
		instanceId: fields.string(),
		cpuMsPerSecond: fields.number(),
		storeReadState: storeReadStates[fields.number()] ?? 'lost',
	};
}

const encodeTableState = ({version, changeVersion, ageMs}: TableSyncState) => [
	version,
	changeVersion,
	Math.round(Math.min(ageMs, maxAgeMs)),
];

/** Sent for larger ages, since JSON cannot hold Infinity. */
const maxAgeMs = 1e9;

function decodeTableState(fields: FieldReader): TableSyncState {
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

function decodeRun(fields: FieldReader): RunState {
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

const encodeRequest = (request: PlacementRequest) => [
	request.id,
	request.service,
	request.purpose === 'run' ? 1 : 0,
	request.promptTokens,
	Math.round(request.expectedTokens),
	Math.round(request.doneTokens),
	request.preferredZone,
	request.excludedTargetIds,
	Math.round(request.previousWaitMs),
	Math.round(request.waitedMs),
	Math.round(request.objectiveMs),
	Math.round(request.remainingMs),
	request.priority,
];

function decodeRequest(fields: FieldReader): PlacementRequest {
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

const encodeDecision = (decision: PlacementDecision) => {
	switch (decision.outcome) {
		case 'placed': {
			const {placement} = decision;
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
			return ['w', decision.waitingCount];
		}

		case 'refused': {
			return ['r', decision.reason, Math.round(decision.retryAfterMs)];
		}
	}
};

function decodeDecision(fields: FieldReader): PlacementDecision {
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
			throw new ProblemError(
				'peer-protocol',
				'the outcome of a placement decision must be "p", "w" or "r"',
			);
		}
	}
}

/** Encodes a message as a JSON array of positional fields that starts with a one-letter kind. */
export function encodeFleetMessage(message: FleetMessage): string {
	switch (message.kind) {
		case 'heartbeat': {
			return JSON.stringify([
				'h',
				encodeMember(message.sender),
				message.sequence,
				encodeTableState(message.configuration),
				encodeTableState(message.targets),
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
				encodeTableState(message.configuration),
				encodeTableState(message.targets),
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
			return JSON.stringify(['p', encodeRequest(message.request)]);
		}

		case 'placed': {
			return JSON.stringify([
				'a',
				message.id,
				encodeDecision(message.decision),
			]);
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

		case 'rate-limits': {
			return JSON.stringify([
				'l',
				message.reports.map((report) => encodeRateLimitReport(report)),
			]);
		}

		case 'permit': {
			return JSON.stringify([
				'm',
				message.id,
				encodePermitRequest(message.request),
			]);
		}

		case 'permit-answer': {
			return JSON.stringify([
				'd',
				message.id,
				encodePermitDecision(message.decision),
			]);
		}

		case 'crash-evidence': {
			return JSON.stringify([
				'e',
				message.reports.map((report) => encodePartReport(report)),
			]);
		}
	}
}

/**
 * Decodes a message; fields beyond the known ones are ignored.
 * @param value - parsed JSON
 * @throws ProblemError `peer-protocol` if the kind is unknown or a field has the wrong type
 */
export function decodeFleetMessage(value: unknown): FleetMessage {
	const fields = FieldReader.of(value);
	const kind = fields.string();
	switch (kind) {
		case 'h': {
			return {
				kind: 'heartbeat',
				sender: decodeMember(FieldReader.of(fields.value())),
				sequence: fields.number(),
				configuration: decodeTableState(FieldReader.of(fields.value())),
				targets: decodeTableState(FieldReader.of(fields.value())),
				runs: fields.list(decodeRun),
			};
		}

		case 'b': {
			return {
				kind: 'beacon',
				sender: decodeMember(FieldReader.of(fields.value())),
				sequence: fields.number(),
				vmCount: fields.number(),
				members: fields.list(
					(member) => [decodeMember(member), member.number()] as const,
				),
				configuration: decodeTableState(FieldReader.of(fields.value())),
				targets: decodeTableState(FieldReader.of(fields.value())),
			};
		}

		case 'u': {
			return {
				kind: 'run-update',
				set: fields.list(decodeRun),
				ended: fields.strings(),
			};
		}

		case 'p': {
			return {
				kind: 'place',
				request: decodeRequest(FieldReader.of(fields.value())),
			};
		}

		case 'a': {
			return {
				kind: 'placed',
				id: fields.string(),
				decision: decodeDecision(FieldReader.of(fields.value())),
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

		case 'l': {
			return {
				kind: 'rate-limits',
				reports: fields.list(decodeRateLimitReport),
			};
		}

		case 'm': {
			return {
				kind: 'permit',
				id: fields.string(),
				request: decodePermitRequest(FieldReader.of(fields.value())),
			};
		}

		case 'd': {
			return {
				kind: 'permit-answer',
				id: fields.string(),
				decision: decodePermitDecision(FieldReader.of(fields.value())),
			};
		}

		case 'e': {
			return {
				kind: 'crash-evidence',
				reports: fields.list(decodePartReport),
			};
		}

		default: {
			throw new ProblemError(
				'peer-protocol',
				`unknown kind "${kind}" of a message between VMs; allowed are h, b, u, p, a, c, t, g, l, m, d and e`,
			);
		}
	}
}
