import type {Disposable, TargetEntry} from '../../common/index.js';
import type {SessionServices} from './session-types.js';

/** What calls to plain services work with. */
export type CallSessionOptions = SessionServices & {
	/** Chooses a target that has not had the request. */
	readonly chooseTarget: (
		service: string,
		avoid: ReadonlySet<string>,
	) => TargetEntry | undefined;
	/** Counts a send; disposed when it has ended. */
	readonly trackCall: (target: TargetEntry) => Disposable;
};
