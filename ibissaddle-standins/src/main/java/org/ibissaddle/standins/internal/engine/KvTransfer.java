package org.ibissaddle.standins.internal.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.ibissaddle.standins.internal.JsonCodec;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/**
 * Wire format of cache blocks transferred between engines: a JSON header line that lists the blocks, then their bytes.
 */
public final class KvTransfer {
    private KvTransfer() {}

    /** Serializes a chain of blocks; the block contents are zero bytes. */
    public static byte[] export(List<String> blocks, int bytesPerBlock) {
        byte[] header = (JsonCodec.text(new KvHeader(blocks, bytesPerBlock)) + "\n").getBytes(StandardCharsets.UTF_8);
        return Arrays.copyOf(header, header.length + blocks.size() * bytesPerBlock);
    }

    /** Parses a chain of blocks that must end with the given block. */
    public static List<String> parse(String last, byte[] body) throws RequestRejectedException {
        int lineEnd = lineEnd(body);
        KvHeader header = JsonCodec.parse(Arrays.copyOf(body, lineEnd), KvHeader.class);
        int expected = lineEnd + 1 + header.blocks().size() * header.bytesPerBlock();
        if (body.length != expected) {
            throw RequestRejectedException.badRequest(
                    "KV cache of block \"" + last + "\" has " + body.length + " bytes; expected " + expected);
        }
        if (header.blocks().isEmpty() || !header.blocks().getLast().equals(last)) {
            throw RequestRejectedException.badRequest("KV cache does not end with block \"" + last + "\"");
        }
        return header.blocks();
    }

    private static int lineEnd(byte[] body) throws RequestRejectedException {
        for (int i = 0; i < body.length; i++) {
            if (body[i] == '\n') {
                return i;
            }
        }
        throw RequestRejectedException.badRequest("KV cache has no header line");
    }

    private record KvHeader(List<String> blocks, int bytesPerBlock) {}
}
