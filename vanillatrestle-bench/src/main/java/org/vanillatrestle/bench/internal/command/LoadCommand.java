package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.apache.commons.cli.ParseException;
import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.http.Responses;
import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.LoadGenerator;
import org.vanillatrestle.bench.internal.load.LoadResult;
import org.vanillatrestle.bench.internal.load.LoadShape;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.load.RequestTemplate;

/**
 * Generates load against entry VMs or targets and prints what it measured.
 * <p>
 * Stateless and thread safe.
 */
public final class LoadCommand implements BenchCommand {

	private static final long MILLIS_PER_SECOND = 1000;

	@Override
	public String name() {
		return "load";
	}

	@Override
	public String summary() {
		return "generates open-loop load, checks each answer and prints latencies";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
		Arguments arguments = new Arguments().option("to", "HOST:PORT,...", "where requests go, in turn")
			.option("kind", "KIND", "stream, whole, balance or payout; default stream")
			.option("rate", "COUNT", "arrivals per second, default 10; 0 keeps max-in-flight requests in flight")
			.option("seconds", "COUNT", "duration, default 10")
			.option("warm-up-seconds", "COUNT", "time before measurements count, default 2")
			.option("max-in-flight", "COUNT", "default 1000")
			.option("threads", "COUNT", "threads that generate load, default 1")
			.option("seed", "NUMBER", "seed of the arrivals, default 1")
			.option("model", "NAME", "model of chat requests")
			.option("service", "NAME", "service of plain requests; none to call a service directly")
			.option("tokens", "COUNT", "tokens of a chat answer, default 50")
			.option("prompt-chars", "COUNT", "length of the shared beginning of prompts, default 200")
			.option("prefixes", "COUNT", "how many shared beginnings there are, default 16")
			.option("key", "TEXT", "the caller's bearer key")
			.flag("json", "prints JSON");
		if (!arguments.parse(this, args, out)) {
			return OK;
		}
		LoadResult result = LoadGenerator.run(addresses(arguments.required("to")), template(arguments),
				shape(arguments), (int) arguments.number("threads", 1));
		out.print(arguments.has("json")
				? new String(Responses.encode(result.toJson()), StandardCharsets.UTF_8) + System.lineSeparator()
				: result.toText());
		return (result.count(AnswerKind.FALSE_WHOLE) == 0) ? OK : FAILED;
	}

	private static RequestTemplate template(Arguments arguments) throws ParseException {
		String kind = arguments.text("kind", "stream").toUpperCase(Locale.ROOT);
		for (RequestKind known : RequestKind.values()) {
			if (known.name().equals(kind)) {
				return new RequestTemplate(known, arguments.text("model", ""), arguments.text("service", ""),
						(int) arguments.number("tokens", 50), (int) arguments.number("prompt-chars", 200),
						(int) arguments.number("prefixes", 16), arguments.text("key", ""));
			}
		}
		throw new ParseException("--kind expects stream, whole, balance or payout, but is '" + kind + "'");
	}

	private static LoadShape shape(Arguments arguments) throws ParseException {
		return new LoadShape(arguments.number("rate", 10), arguments.number("warm-up-seconds", 2) * MILLIS_PER_SECOND,
				arguments.number("seconds", 10) * MILLIS_PER_SECOND, (int) arguments.number("max-in-flight", 1000),
				arguments.number("seed", 1));
	}

	private static List<InetSocketAddress> addresses(String text) throws ParseException {
		List<InetSocketAddress> addresses = new ArrayList<>();
		for (String item : text.split(",")) {
			int colon = item.lastIndexOf(':');
			if (colon < 0) {
				throw new ParseException("--to expects host:port, but is '" + item + "'");
			}
			addresses.add(new InetSocketAddress(item.substring(0, colon), port(item.substring(colon + 1))));
		}
		return addresses;
	}

	private static int port(String text) throws ParseException {
		try {
			return Integer.parseInt(text);
		}
		catch (NumberFormatException ex) {
			throw new ParseException("'" + text + "' is no port");
		}
	}

}
