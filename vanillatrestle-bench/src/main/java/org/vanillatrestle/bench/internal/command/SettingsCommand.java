package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.ParseException;
import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;

/**
 * Writes the settings files of a deployment with one data centre in each region.
 * <p>
 * Stateless and thread safe.
 */
public final class SettingsCommand implements BenchCommand {

	@Override
	public String name() {
		return "settings";
	}

	@Override
	public String summary() {
		return "writes the settings files of a deployment on loopback addresses";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
		Arguments arguments = new Arguments().option("regions", "NAME:COUNT,...", "regions and their numbers of VMs")
			.option("prefix", "A.B.C", "first three numbers of the addresses, default 127.0.1")
			.option("operator-key", "TEXT", "the operator's key")
			.option("out", "FOLDER", "gets the files");
		if (!arguments.parse(this, args, out)) {
			return OK;
		}
		List<String> regions = new ArrayList<>();
		List<Integer> counts = new ArrayList<>();
		for (String item : arguments.required("regions").split(",")) {
			int colon = item.indexOf(':');
			if (colon < 0 || !item.substring(colon + 1).matches("[1-9][0-9]?")) {
				throw new ParseException("--regions expects name:count, but is '" + item + "'");
			}
			regions.add(item.substring(0, colon));
			counts.add(Integer.valueOf(item.substring(colon + 1)));
		}
		DeploymentPlan plan = DeploymentPlan.of(arguments.text("prefix", "127.0.1"), regions, counts,
				arguments.required("operator-key"));
		plan.write(Path.of(arguments.required("out")));
		out.println("Settings: wrote " + plan.vms().size() + " files.");
		return OK;
	}

}
