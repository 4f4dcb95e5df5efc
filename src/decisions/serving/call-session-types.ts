import type {Disposable, TargetEntry} from '../../common/index.js';
import type {SessionServices} from './session-types.js';

/** Dependencies of a session for a call to a plain service. */
export type CallSessionOptions = SessionServices & {
	/**
	 * Chooses a target of the service.
	 * @param avoid - ids of targets that were already tried
	 */
	readonly chooseTarget: (
		service: string,
		avoid: ReadonlySet<string>,
	) => TargetEntry | undefined;
	/** Counts an open call to the target until the result is disposed. */
	readonly trackCall: (target: TargetEntry) => Disposable;
};
