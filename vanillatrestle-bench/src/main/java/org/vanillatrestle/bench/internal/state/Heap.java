package org.vanillatrestle.bench.internal.state;

/**
 * Reads the heap in use after full collections.
 * <p>
 * Stateless and thread safe.
 */
final class Heap {

	private static final int COLLECTIONS = 4;

	private Heap() {
	}

	static long usedBytes() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
