import type {Clock} from '../../common/index.js';
import type {ExplainLog} from '../../decisions/explain/index.js';
import type {
	GenerationPlacer,
	GenerationRequest,
} from '../../decisions/streams/index.js';

const describe = ({account, requestClass, model}: GenerationRequest) =>
	`client account ${account}, class ${requestClass}, model ${model}`;

/** Records refusals, losses and the restarts that follow them, and passes every call on. */
export function createExplainedPlacer(
	inner: GenerationPlacer,
	log: ExplainLog,
	clock: Clock,
): GenerationPlacer {
	const targets = new Map<string, string>();

	const add = (
		kind: string,
		subject: string,
		cause: string,
		result: string,
	) => {
		log.add({atWallMs: clock.wallMs(), kind, subject, cause, result});
	};

	return {
		place(request, callbacks, avoidTargetId) {
			return inner.place(
				request,
				{
					onPlaced(placed) {
						const targetId = placed.engine.description.id;
						targets.set(placed.generationId, targetId);
						if (avoidTargetId !== undefined) {
							const cause = `target ${avoidTargetId} lost the generation before`;
							add(
								'restart',
								placed.generationId,
								cause,
								`placed on ${targetId}`,
							);
						}

						callbacks.onPlaced(placed);
					},
					onRefused(problem) {
						const subject = `account:${request.account}`;
						const cause = `${problem.detail} (${describe(request)})`;
						add('refusal', subject, cause, problem.type);
						callbacks.onRefused(problem);
					},
				},
				avoidTargetId,
			);
		},
		progressed(generationId, producedTokens) {
			inner.progressed(generationId, producedTokens);
		},
		ended(generationId, outcome, producedTokens) {
			const targetId = targets.get(generationId);
			targets.delete(generationId);
			if (targetId !== undefined && outcome === 'lost') {
				const result = `lost after ${producedTokens} tokens`;
				add(
					'loss',
					generationId,
					`target ${targetId} no longer has it`,
					result,
				);
				add('loss', targetId, `generation ${generationId}`, result);
			}

			inner.ended(generationId, outcome, producedTokens);
		},
		adopt(request, place, position) {
			const engine = inner.adopt(request, place, position);
			targets.set(place.generationId, place.targetId);
			const result = engine ? 'resumed' : 'target is not known';
			const cause = `caller came back at position ${position}`;
			add('resumption', place.generationId, cause, result);
			return engine;
		},
	};
}
