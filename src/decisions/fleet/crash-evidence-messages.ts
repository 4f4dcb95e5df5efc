import type {PartCrashReport, PartReport} from '../quarantine/index.js';
import type {FieldReader} from './field-reader.js';

const encodeCrash = ({
	engine,
	ageMs,
	sentAgeMs,
	eventCount,
}: PartCrashReport) => [
	engine,
	Math.round(ageMs),
	Math.round(sentAgeMs),
	eventCount,
];

const decodeCrash = (fields: FieldReader): PartCrashReport => ({
	engine: fields.string(),
	ageMs: fields.number(),
	sentAgeMs: fields.number(),
	eventCount: fields.numberOr(0),
});

export const encodePartReport = (report: PartReport) => [
	report.partId,
	report.crashes.map((crash) => encodeCrash(crash)),
	report.clearedAgeMs === undefined ? null : Math.round(report.clearedAgeMs),
];

export function decodePartReport(fields: FieldReader): PartReport {
	return {
		partId: fields.string(),
		crashes: fields.list(decodeCrash),
		clearedAgeMs: fields.optionalNumber(),
	};
}
