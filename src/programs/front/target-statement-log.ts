import type {Logger, Metrics} from '../../adapters/system/index.js';
import {createDisposableStore, type Disposable} from '../../common/index.js';
import type {TargetStatements} from '../../decisions/target-statements/index.js';

/** Logs and counts what targets say of themselves. */
export function logTargetStatements(
	statements: Pick<TargetStatements, 'onChanged' | 'onMalformed'>,
	logger: Logger,
	metrics: Metrics,
): Disposable {
	const owned = createDisposableStore();
	owned.add(
		statements.onChanged(({targetId, kind, change, source, forMs}) => {
			metrics.count('target_statements', {kind, change});
			logger.info(`${kind} of a target ${change}`, {
				target: targetId,
				source,
				forMs: forMs === undefined ? undefined : Math.round(forMs),
			});
		}),
	);
	owned.add(
		statements.onMalformed(({targetId, detail}) => {
			logger.warn('target statement refused', {target: targetId, detail});
		}),
	);
	return owned;
}
