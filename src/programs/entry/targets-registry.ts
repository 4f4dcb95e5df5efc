import {HttpEngine, HttpPlainService} from '../../adapters/targets/index.js';
import {
	type Clock,
	type Engine,
	type PlainService,
	ProblemError,
	type RandomSource,
	type TargetDescription,
} from '../../common/index.js';
import {
	createTargetTable,
	type TargetTable,
} from '../../decisions/routing/index.js';

// Duration of the first ejection of a target.
const refusalRetryAfterMs = 2000;

/** Clients of all targets, and the target table that chooses among them. */
export type TargetsRegistry = {
	readonly targetTable: TargetTable;
	/** Applies the targets of a configuration. The client of an engine is kept while its URL stays the same. */
	update(descriptions: ReadonlyMap<string, TargetDescription>): void;
	/**
	 * Chooses a target of a plain service and returns its client.
	 * @param avoid - ids of targets that are chosen only if there is no other
	 * @throws ProblemError `not-run` if no target of the service is usable now, `unknown-service` if no
	 * target offers it
	 */
	chooseTarget(service: string, avoid?: ReadonlySet<string>): PlainService;
	findEngine(targetId: string): Engine | undefined;
	findService(targetId: string): PlainService | undefined;
};

export function createTargetsRegistry(
	clock: Clock,
	random: RandomSource,
): TargetsRegistry {
	const targetTable = createTargetTable(random);
	const engines = new Map<string, Engine>();
	const services = new Map<string, PlainService>();

	const createRefusal = (
		kind: 'model' | 'service',
		name: string,
	): ProblemError =>
		targetTable.offers(kind, name)
			? new ProblemError(
					'not-run',
					`no target of ${kind} "${name}" accepts work now`,
					{
						retryAfterMs: refusalRetryAfterMs,
					},
				)
			: new ProblemError(
					kind === 'model' ? 'unknown-model' : 'unknown-service',
					`${kind} "${name}" does not exist`,
					{field: kind},
				);

	return {
		targetTable,
		update(descriptions) {
			targetTable.update(descriptions);
			for (const [id, description] of descriptions) {
				if (
					description.kind === 'engine' &&
					engines.get(id)?.description.url !== description.url
				) {
					engines.set(id, new HttpEngine(description));
				} else if (description.kind === 'service') {
					services.set(id, new HttpPlainService(description));
				}
			}
		},
		chooseTarget(service, avoid) {
			const targetId = targetTable.chooseTarget(service, clock.nowMs(), avoid);
			const client =
				targetId === undefined ? undefined : services.get(targetId);
			if (!client) {
				throw createRefusal('service', service);
			}

			return client;
		},
		findEngine(targetId) {
			return engines.get(targetId);
		},
		findService(targetId) {
			return services.get(targetId);
		},
	};
}
