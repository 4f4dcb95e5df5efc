import {ProblemError} from '../../common/index.js';
import {decodePartReport} from './crash-evidence-messages.js';
import {FieldReader} from './field-reader.js';
import type {FleetMessage} from './fleet-message-types.js';
import {decodeMember, decodeTableState} from './membership-messages.js';
import {
	decodeDecision,
	decodeRequest,
	decodeRun,
} from './placement-messages.js';
import {
	decodePermitDecision,
	decodePermitRequest,
	decodeRateLimitReport,
} from './rate-limit-messages.js';
import {decodeRetryCredit} from './retry-messages.js';
import {
	decodeAvoidedTarget,
	decodeTargetTotals,
} from './target-health-messages.js';
import {decodeCallReport, decodeServiceDemand} from './zone-demand-messages.js';

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
