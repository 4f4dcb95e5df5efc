import type {WantedModel} from '../types.js';
import type {EngineView, PlannedCommand} from './types.js';

/**
 * Command that brings a target back to what earlier commands wanted, for example after a copy of an
 * old command arrived late or the target restarted.
 * @returns at most one command
 */
export function planRepair(
	view: EngineView,
	wantedModels: Readonly<Record<string, WantedModel>>,
): readonly PlannedCommand[] {
	if (view.leaving) {
		return [];
	}

	for (const [model, wanted] of Object.entries(wantedModels)) {
		const isLoaded = view.models.includes(model);
		if (isLoaded !== (wanted.state === 'loaded')) {
			return [
				{
					targetId: view.target.id,
					kind: isLoaded ? 'unload-model' : 'load-model',
					model,
					version: wanted.version,
					cause: `repair: the last command left the model ${wanted.state}`,
				},
			];
		}
	}

	return [];
}
