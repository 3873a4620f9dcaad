package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.demo.Demo;

/**
 * Shows a small deployment at work.
 * <p>
 * Stateless and thread safe.
 */
public final class DemoCommand implements BenchCommand {

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public String summary() {
		return "starts three regions with stand-in targets and shows what callers see";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
		Arguments arguments = new Arguments().option("contracts", "FOLDER",
				"contracts to apply, default examples/demo/contracts");
		if (!arguments.parse(this, args, out)) {
			return OK;
		}
		Path contracts = Path.of(arguments.text("contracts", "examples/demo/contracts"));
		try (Demo demo = new Demo(Files.createTempDirectory("vanillatrestle-demo"), contracts, out)) {
			return demo.run() ? OK : FAILED;
		}
	}

}
