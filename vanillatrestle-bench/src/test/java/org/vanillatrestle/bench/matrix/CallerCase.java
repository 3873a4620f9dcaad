package org.vanillatrestle.bench.matrix;

/**
 * One case of what callers, targets and operators of a VM do wrong.
 *
 * @param step where the fault strikes
 * @param fault what goes wrong
 * @param name what happens, in a few words
 * @param script what to do and to check
 */
record CallerCase(Step step, MatrixFault fault, String name, Script script) {

	@Override
	public String toString() {
		return this.step + " " + this.fault + ": " + this.name;
	}

	/**
	 * What to do and to check.
	 */
	@FunctionalInterface
	interface Script {

		void run(MatrixVm vm, RawCaller caller) throws Exception;

	}

}
