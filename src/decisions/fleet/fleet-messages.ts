import {ProblemError} from '../../common/index.js';
import {decodePartReport, encodePartReport} from './crash-evidence-messages.js';
import {FieldReader} from './field-reader.js';
import type {FleetMessage} from './fleet-message-types.js';
import {
	decodeMember,
	decodeTableState,
	encodeMember,
	encodeTableState,
} from './membership-messages.js';
import {
	decodeDecision,
	decodeRequest,
	decodeRun,
	encodeDecision,
	encodeRequest,
	encodeRun,
} from './placement-messages.js';
import {
	decodePermitDecision,
	decodePermitRequest,
	decodeRateLimitReport,
	encodePermitDecision,
	encodePermitRequest,
	encodeRateLimitReport,
} from './rate-limit-messages.js';
import {decodeRetryCredit, encodeRetryCredit} from './retry-messages.js';
import {
	decodeAvoidedTarget,
	decodeTargetTotals,
	encodeAvoidedTarget,
	encodeTargetTotals,
} from './target-health-messages.js';
import {
	decodeCallReport,
	decodeServiceDemand,
	encodeCallReport,
	encodeServiceDemand,
} from './zone-demand-messages.js';

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
				message.operatorVersion,
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
				message.operatorVersion,
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

		case 'retry-credits': {
			return JSON.stringify([
				'y',
				message.sequence,
				message.credits.map((credit) => encodeRetryCredit(credit)),
			]);
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

		case 'target-report': {
			const {incarnation, sequence, totals} = message.report;
			return JSON.stringify([
				'f',
				incarnation,
				sequence,
				totals.map((target) => encodeTargetTotals(target)),
			]);
		}

		case 'avoided-targets': {
			const {incarnation, sequence, targets} = message.list;
			return JSON.stringify([
				'v',
				incarnation,
				sequence,
				targets.map((target) => encodeAvoidedTarget(target)),
			]);
		}

		case 'crash-evidence': {
			return JSON.stringify([
				'e',
				message.reports.map((report) => encodePartReport(report)),
			]);
		}

		case 'call-rates': {
			return JSON.stringify([
				'n',
				message.availabilityZone,
				message.calls.map((call) => encodeCallReport(call)),
			]);
		}

		case 'zone-demand': {
			return JSON.stringify([
				'z',
				message.demands.map((demand) => encodeServiceDemand(demand)),
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
				operatorVersion: fields.numberOr(0),
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
				operatorVersion: fields.numberOr(0),
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

		case 'y': {
			return {
				kind: 'retry-credits',
				sequence: fields.number(),
				credits: fields.list(decodeRetryCredit),
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

		case 'f': {
			return {
				kind: 'target-report',
				report: {
					incarnation: fields.number(),
					sequence: fields.number(),
					totals: fields.list(decodeTargetTotals),
				},
			};
		}

		case 'v': {
			return {
				kind: 'avoided-targets',
				list: {
					incarnation: fields.number(),
					sequence: fields.number(),
					targets: fields.list(decodeAvoidedTarget),
				},
			};
		}

		case 'e': {
			return {
				kind: 'crash-evidence',
				reports: fields.list(decodePartReport),
			};
		}

		case 'n': {
			return {
				kind: 'call-rates',
				availabilityZone: fields.string(),
				calls: fields.list(decodeCallReport),
			};
		}

		case 'z': {
			return {
				kind: 'zone-demand',
				demands: fields.list(decodeServiceDemand),
			};
		}

		default: {
			throw new ProblemError(
				'peer-protocol',
				`unknown kind "${kind}" of a message between VMs; allowed are h, b, u, p, a, c, t, g, y, l, m, d, e, f, v, n and z`,
			);
		}
	}
}
