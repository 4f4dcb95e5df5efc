import {encodePartReport} from './crash-evidence-messages.js';
import type {FleetMessage} from './fleet-message-types.js';
import {encodeMember, encodeTableState} from './membership-messages.js';
import {
	encodeDecision,
	encodeRequest,
	encodeRun,
} from './placement-messages.js';
import {
	encodePermitDecision,
	encodePermitRequest,
	encodeRateLimitReport,
} from './rate-limit-messages.js';
import {encodeRetryCredit} from './retry-messages.js';
import {
	encodeAvoidedTarget,
	encodeTargetTotals,
} from './target-health-messages.js';
import {encodeCallReport, encodeServiceDemand} from './zone-demand-messages.js';

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
