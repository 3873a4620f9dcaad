package org.vanillatrestle.bench.internal.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.daemon.Node;
import org.vanillatrestle.daemon.internal.settings.SettingsReader;

/**
 * Runs a daemon in a process that can be asked for its heap: for each line on the
 * standard input it collects all garbage and prints the heap in use, in bytes.
 * <p>
 * Stateless and thread safe.
 */
public final class HeapProbe {

	private static final int COLLECTIONS = 3;

	private HeapProbe() {
	}

	/**
	 * Runs the daemon until the standard input ends.
	 * @param args the settings file
	 * @throws IOException if the daemon can't start
	 * @throws InvalidDocumentException if the settings have a fault
	 */
	public static void main(String[] args) throws IOException, InvalidDocumentException {
		BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
		Node node = Node.start(SettingsReader.readFile(Path.of(args[0])));
		while (commands.readLine() != null) {
			System.out.println("heap " + usedBytes());
		}
		node.close();
		System.exit(0);
	}

	private static long usedBytes() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
