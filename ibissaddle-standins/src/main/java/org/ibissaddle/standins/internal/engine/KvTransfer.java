package org.ibissaddle.standins.internal.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.ibissaddle.standins.internal.Json;
import org.ibissaddle.standins.internal.http.RefusedException;

/** The form in which cache blocks move between engines: a JSON line that names the blocks, then their bytes. */
public final class KvTransfer {
    private KvTransfer() {}

    /** Writes a chain of blocks. */
    public static byte[] export(List<String> blocks, int bytesPerBlock) {
        byte[] head = (Json.text(new Head(blocks, bytesPerBlock)) + "\n").getBytes(StandardCharsets.UTF_8);
        return Arrays.copyOf(head, head.length + blocks.size() * bytesPerBlock);
    }

    /** Reads a chain of blocks that must end in the given one. */
    public static List<String> parse(String last, byte[] body) throws RefusedException {
        int lineEnd = lineEnd(body);
        Head head = Json.parse(Arrays.copyOf(body, lineEnd), Head.class);
        int expected = lineEnd + 1 + head.blocks().size() * head.bytesPerBlock();
        if (body.length != expected) {
            throw RefusedException.badRequest(
                    "KV cache of block \"" + last + "\" has " + body.length + " bytes in place of " + expected);
        }
        if (head.blocks().isEmpty() || !head.blocks().getLast().equals(last)) {
            throw RefusedException.badRequest("KV cache does not end in block \"" + last + "\"");
        }
        return head.blocks();
    }

    private static int lineEnd(byte[] body) throws RefusedException {
        for (int i = 0; i < body.length; i++) {
            if (body[i] == '\n') {
                return i;
            }
        }
        throw RefusedException.badRequest("KV cache has no head line");
    }

    private record Head(List<String> blocks, int bytesPerBlock) {}
}
