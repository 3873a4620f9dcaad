package org.vanillatrestle.daemon.internal.node;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.daemon.internal.control.ControlPart;
import org.vanillatrestle.daemon.internal.ledger.LedgerOpeningFile;
import org.vanillatrestle.daemon.internal.ledger.LedgerPart;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;

/**
 * Founds the replicated groups whose first VM in the settings is this one.
 * <p>
 * Stateless and thread safe. The other VMs of a group join it when they run.
 */
public final class ReplicaFounding {

	private ReplicaFounding() {
	}

	/**
	 * Founds the groups.
	 * @param settings the VM's settings
	 * @param afterLoss whether an earlier ledger of the data centre was lost
	 * @return the names of the groups that were founded
	 * @throws IOException if a folder can't be used or holds a replica already
	 */
	public static List<String> found(Settings settings, boolean afterLoss) throws IOException {
		List<String> founded = new ArrayList<>();
		if (isFirst(settings, settings.withRole(Role.CONTROL))) {
			found(settings, ControlPart.FOLDER);
			founded.add("contract book");
		}
		if (isFirst(settings, settings.ledgersOf(settings.self().dataCentre()))) {
			found(settings, LedgerPart.FOLDER);
			LedgerOpeningFile.write(settings.dataFolder().orElseThrow(), Instant.now().getEpochSecond(), afterLoss);
			founded.add("once ledger of " + settings.self().dataCentre());
		}
		return founded;
	}

	private static boolean isFirst(Settings settings, List<VmSettings> group) {
		return !group.isEmpty() && group.get(0).vm().equals(settings.self().vm());
	}

	private static void found(Settings settings, String name) throws IOException {
		Path folder = settings.dataFolder().orElseThrow().resolve(name);
		LogStorage.open(new FolderFiles(folder), settings.self().vm(), OpenMode.FOUND_GROUP).close();
	}

}
