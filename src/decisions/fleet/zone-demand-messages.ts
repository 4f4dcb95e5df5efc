import type {CallReport, ServiceDemand} from '../zone-spillover/index.js';
import type {FieldReader} from './field-reader.js';

/** Rounds to tenths, which are exact enough for calls per second and milliseconds. */
const toTenths = (value: number) => Math.round(value * 10) / 10;

export const encodeCallReport = (report: CallReport) => [
	report.service,
	toTenths(report.callsPerSecond),
	report.serviceMs === undefined ? null : toTenths(report.serviceMs),
];

export const decodeCallReport = (fields: FieldReader): CallReport => ({
	service: fields.string(),
	callsPerSecond: fields.number(),
	serviceMs: fields.optionalNumber(),
});

export const encodeServiceDemand = (demand: ServiceDemand) => [
	demand.service,
	toTenths(demand.serviceMs),
	[...demand.zones].map(([zone, perSecond]) => [zone, toTenths(perSecond)]),
];

export const decodeServiceDemand = (fields: FieldReader): ServiceDemand => ({
	service: fields.string(),
	serviceMs: fields.number(),
	zones: new Map(
		fields.list((zone) => [zone.string(), zone.number()] as const),
	),
});
