import type {Clock} from '../../common/index.js';
import type {ExplainLog} from '../../decisions/explain/index.js';
import type {
	GenerationPlacer,
	GenerationRequest,
} from '../../decisions/streams/index.js';

const describeRequest = ({account, requestClass, model}: GenerationRequest) =>
	`client account ${account}, class ${requestClass}, model ${model}`;

/**
 * Wraps a placer: forwards every call to it, and adds refusals, losses, restarts and resumptions of
 * generations to the explain log.
 */
export function createExplainedPlacer(
	inner: GenerationPlacer,
	explainLog: ExplainLog,
	clock: Clock,
): GenerationPlacer {
	const targetIdByGeneration = new Map<string, string>();

	const addRecord = (
		kind: string,
		subject: string,
		cause: string,
		result: string,
	) => {
		explainLog.add({atWallMs: clock.wallMs(), kind, subject, cause, result});
	};

	return {
		place(request, callbacks, avoidTargetId) {
			return inner.place(
				request,
				{
					onPlaced(placed) {
						const targetId = placed.engine.description.id;
						targetIdByGeneration.set(placed.generationId, targetId);
						if (avoidTargetId !== undefined) {
							const cause = `target ${avoidTargetId} lost the previous generation`;
							addRecord(
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
						const cause = `${problem.detail} (${describeRequest(request)})`;
						addRecord('refusal', subject, cause, problem.type);
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
			const targetId = targetIdByGeneration.get(generationId);
			targetIdByGeneration.delete(generationId);
			if (targetId !== undefined && outcome === 'lost') {
				const result = `lost after ${producedTokens} tokens`;
				addRecord(
					'loss',
					generationId,
					`target ${targetId} no longer has the generation`,
					result,
				);
				addRecord('loss', targetId, `generation ${generationId}`, result);
			}

			inner.ended(generationId, outcome, producedTokens);
		},
		adopt(request, placement, position) {
			const engine = inner.adopt(request, placement, position);
			targetIdByGeneration.set(placement.generationId, placement.targetId);
			const result = engine ? 'resumed' : 'not resumed: target is not known';
			const cause = `caller reconnected at position ${position}`;
			addRecord('resumption', placement.generationId, cause, result);
			return engine;
		},
	};
}
