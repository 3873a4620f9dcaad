package org.vanillatrestle.bench.internal.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.vanillatrestle.InvalidDocumentException;

/**
 * The command that runs an experiment file and writes {@code NAME.json} and
 * {@code NAME.html}.
 * <p>
 * Runs are deterministic: the same file and code give the same figures. Not thread safe.
 */
public final class ExperimentCommand {

	private static final int EXIT_OK = 0;

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_FAILED = 1;

	private static final List<Figure> PRINTED = List.of(Figure.COST, Figure.FIRST_P50, Figure.FIRST_P95,
			Figure.FIRST_P99, Figure.FIRST_P999, Figure.TOTAL_P99, Figure.BETWEEN_P95, Figure.SENT_AWAY, Figure.GOODPUT,
			Figure.LOST, Figure.ATTEMPTS, Figure.PREFIX_HITS);

	private final PrintStream out;

	private final PrintStream err;

	public ExperimentCommand(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs the command as a program.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(new ExperimentCommand(System.out, System.err).run(args));
	}

	/**
	 * Runs the command.
	 * @param args the arguments
	 * @return 0 if it succeeded, 1 if files failed, 2 if arguments or the file are wrong
	 */
	public int run(String[] args) {
		try {
			CommandLine line = new DefaultParser().parse(options(), args);
			if (line.hasOption("help") || !line.hasOption("file")) {
				this.out.println("usage: experiment --file FILE [--output FOLDER] [--scene NAME] [--policy NAME]");
				return line.hasOption("help") ? EXIT_OK : EXIT_USAGE;
			}
			Experiment experiment = ExperimentReader.read(Files.readString(Path.of(line.getOptionValue("file"))));
			List<CellResult> cells = cells(experiment, line.getOptionValue("scene"), line.getOptionValue("policy"));
			if (cells.isEmpty()) {
				throw new ParseException("the file has no such scene or policy; its scenes are "
						+ experiment.scenes().stream().map(Scene::name).toList() + ", its policies "
						+ experiment.policies());
			}
			Report report = new Report(experiment, cells);
			this.out.print(report.text(PRINTED));
			if (line.hasOption("output")) {
				write(Path.of(line.getOptionValue("output")), experiment, report);
			}
			return EXIT_OK;
		}
		catch (ParseException | InvalidDocumentException ex) {
			this.err.println("Experiment: " + ex.getMessage());
			return EXIT_USAGE;
		}
		catch (IOException ex) {
			this.err.println("Experiment: can't read or write " + ex.getMessage());
			return EXIT_FAILED;
		}
	}

	private static Options options() {
		return new Options().addOption(Option.builder().longOpt("file").hasArg().build())
			.addOption(Option.builder().longOpt("output").hasArg().build())
			.addOption(Option.builder().longOpt("scene").hasArg().build())
			.addOption(Option.builder().longOpt("policy").hasArg().build())
			.addOption(Option.builder().longOpt("help").build());
	}

	private static List<CellResult> cells(Experiment experiment, String scene, String policy) {
		return experiment.scenes()
			.stream()
			.filter((candidate) -> scene == null || candidate.name().equals(scene))
			.flatMap((candidate) -> experiment.policies()
				.stream()
				.filter((kind) -> policy == null || kind.name().equals(policy))
				.map((kind) -> cell(experiment, candidate, kind)))
			.toList();
	}

	private static CellResult cell(Experiment experiment, Scene scene, PolicyKind policy) {
		List<RunResult> runs = new ArrayList<>();
		for (long seed : experiment.seeds()) {
			World world = new World(experiment.deployment(), policy, seed, experiment.warmUpNanos());
			runs.add(world.run(scene, experiment.warmUpNanos()));
		}
		return new CellResult(scene.name(), policy, runs);
	}

	private static void write(Path folder, Experiment experiment, Report report) throws IOException {
		Files.createDirectories(folder);
		Files.writeString(folder.resolve(experiment.name() + ".json"), report.json());
		Files.writeString(folder.resolve(experiment.name() + ".html"), report.html());
	}

}
