import type {TargetEntry} from './types.js';

/** What identifies one incarnation of a target: a target may start again under the id that it had. */
export type TargetIdentity = Pick<TargetEntry, 'bornMs' | 'id'>;

/** @returns key that differs between the incarnations of a target */
export function incarnationOf({id, bornMs}: TargetIdentity): string {
	return bornMs === undefined ? id : `${id}@${bornMs}`;
}
