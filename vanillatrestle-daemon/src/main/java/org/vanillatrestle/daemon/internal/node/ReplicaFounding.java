package org.vanillatrestle.daemon.internal.node;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.daemon.internal.control.ContractBookReplica;
import org.vanillatrestle.daemon.internal.ledger.LedgerOpeningFile;
import org.vanillatrestle.daemon.internal.ledger.LedgerPart;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;

/**
 * Creates the first replica of each replicated group whose first VM in the settings is
 * this VM.
 * <p>
 * The other VMs of a group join it when they start. Stateless and thread safe.
 */
public final class ReplicaFounding {

	private ReplicaFounding() {
	}

	/**
	 * Creates the first replicas of the groups.
	 * @param settings the VM's settings
	 * @param afterLoss whether the data centre has lost an earlier once ledger
	 * @return the names of the new groups
	 * @throws IOException if a folder can't be opened or already holds a replica
	 */
	public static List<String> found(Settings settings, boolean afterLoss) throws IOException {
		List<String> founded = new ArrayList<>();
		if (isFirst(settings, settings.vmsWithRole(Role.CONTROL))) {
			found(settings, ContractBookReplica.FOLDER);
			founded.add("contract book");
		}
		if (isFirst(settings, settings.ledgerReplicas(settings.self().dataCentre()))) {
			found(settings, LedgerPart.FOLDER);
			LedgerOpeningFile.write(settings.dataFolder().orElseThrow(), Instant.now().getEpochSecond(), afterLoss);
			founded.add("once ledger of " + settings.self().dataCentre());
		}
		return founded;
	}

	private static boolean isFirst(Settings settings, List<VmSettings> group) {
		return !group.isEmpty() && group.get(0).id().equals(settings.self().id());
	}

	private static void found(Settings settings, String name) throws IOException {
		Path folder = settings.dataFolder().orElseThrow().resolve(name);
		LogStorage.open(new FolderFiles(folder), settings.self().id(), OpenMode.CREATE_GROUP).close();
	}

}
