package org.vanillatrestle.wire;

import java.nio.charset.StandardCharsets;

import com.google.protobuf.ByteString;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class DocumentPackingTests {

	@Property
	void shouldUnpackWhatItPacked(@ForAll byte[] document) {
		assertThat(DocumentPacking.unpack(DocumentPacking.pack(document))).isEqualTo(document);
	}

	@Test
	void shouldMakeADocumentOfManyRoutesSmall() {
		StringBuilder routes = new StringBuilder();
		for (int i = 0; i < 1_000; i++) {
			routes.append("{\"name\":\"r-")
				.append(Integer.toString(i * 7919, 36))
				.append("\",\"kind\":\"streaming\",\"timeout-ms\":10000,\"service\":\"huvo11a\"},");
		}
		byte[] document = routes.toString().getBytes(StandardCharsets.US_ASCII);
		assertThat(DocumentPacking.pack(document).size()).isLessThan(document.length / 4);
	}

	@Test
	void shouldRefuseBytesThatAreNoPackedDocument() {
		ByteString packed = DocumentPacking.pack("document".getBytes(StandardCharsets.US_ASCII));
		assertThatThrownBy(() -> DocumentPacking.unpack(packed.substring(0, packed.size() - 4)))
			.isInstanceOf(IllegalArgumentException.class);
		assertThatThrownBy(() -> DocumentPacking.unpack(ByteString.copyFrom(new byte[] { 1, 2, 3 })))
			.isInstanceOf(IllegalArgumentException.class);
		assertThatThrownBy(() -> DocumentPacking.unpack(ByteString.EMPTY)).isInstanceOf(IllegalArgumentException.class);
	}

}
