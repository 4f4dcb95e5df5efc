import type {WantedModel} from '../types.js';
import type {EngineView, PlannedCommand} from './types.js';

/**
 * Plans a command that restores the state in which the last commands left a target. The target can
 * deviate from it after a late copy of an older command or after a restart.
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
