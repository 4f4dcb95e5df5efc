import type {CallerLimits} from './types.js';

/** Limits that apply where the operator's configuration sets none. */
export const defaultCallerLimits: CallerLimits = {
	maxHeaderBytes: 16_384,
	maxBodyBytes: 4_194_304,
	headerTimeoutMs: 10_000,
	idleTimeoutMs: 60_000,
};
