package org.ibissaddle.note;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes message digests of text. */
public final class Digests {
    private Digests() {}

    /**
     * Computes the SHA-256 digest of the UTF-8 encoding of a text.
     *
     * @param text the text
     * @return the digest in lowercase hexadecimal
     */
    public static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java runtime is required to provide it", e);
        }
    }
}
