/** Something that releases what it registered. */
export type Disposable = {
	dispose(): void;
};

/** Collects disposables so that an owner releases them together. */
export type DisposableStore = Disposable & {
	/** Registers a disposable and returns it. */
	add<T extends Disposable>(disposable: T): T;
};

/** Creates an empty store of disposables. */
export function createDisposableStore(): DisposableStore {
	const disposables: Disposable[] = [];
	return {
		add(disposable) {
			disposables.push(disposable);
			return disposable;
		},
		dispose() {
			for (const disposable of disposables.splice(0).reverse()) {
				disposable.dispose();
			}
		},
	};
}
