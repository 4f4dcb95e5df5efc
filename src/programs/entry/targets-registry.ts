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

const ejectionMs = 2000;

/** Clients of all targets, with the table that places work on them. */
export type TargetsRegistry = {
	readonly targetTable: TargetTable;
	update(descriptions: ReadonlyMap<string, TargetDescription>): void;
	/** @param avoid - ids of targets to choose only if there is no other */
	chooseTarget(service: string, avoid?: ReadonlySet<string>): PlainService;
	findEngine(targetId: string): Engine | undefined;
	findService(targetId: string): PlainService | undefined;
};

/** Creates a registry without targets. */
export function createTargetsRegistry(
	clock: Clock,
	random: RandomSource,
): TargetsRegistry {
	const targetTable = createTargetTable(random);
	const engines = new Map<string, Engine>();
	const services = new Map<string, PlainService>();

	const refuse = (kind: 'model' | 'service', name: string): ProblemError =>
		targetTable.offers(kind, name)
			? new ProblemError(
					'not-run',
					`no target for ${kind} "${name}" takes work now`,
					{
						retryAfterMs: ejectionMs,
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
			const found = targetId === undefined ? undefined : services.get(targetId);
			if (!found) {
				throw refuse('service', service);
			}

			return found;
		},
		findEngine(targetId) {
			return engines.get(targetId);
		},
		findService(targetId) {
			return services.get(targetId);
		},
	};
}
