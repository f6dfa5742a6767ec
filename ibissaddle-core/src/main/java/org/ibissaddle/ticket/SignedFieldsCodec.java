package org.ibissaddle.ticket;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

/** Encodes a list of fields as signed, URL-safe text: the format shared by tickets and stream tokens. */
public final class SignedFieldsCodec {
    private static final String SEPARATOR = "\n";
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
    private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

    private final DeploymentKey key;
    private final String purpose;

    /**
     * Creates a codec.
     *
     * @param key the signing key
     * @param purpose what the text is for; texts signed for another purpose are rejected
     */
    public SignedFieldsCodec(DeploymentKey key, String purpose) {
        this.key = key;
        this.purpose = purpose;
    }

    /**
     * Encodes and signs fields.
     *
     * @param fields the fields, none of which may contain a line feed
     * @return the signed text
     */
    public String write(List<String> fields) {
        byte[] content = String.join(SEPARATOR, fields).getBytes(StandardCharsets.UTF_8);
        byte[] signature = key.sign(purpose, content);
        byte[] signed = Arrays.copyOf(signature, signature.length + content.length);
        System.arraycopy(content, 0, signed, signature.length, content.length);
        return ENCODER.encodeToString(signed);
    }

    /**
     * Verifies signed text and decodes its fields.
     *
     * @param text the signed text
     * @param count expected number of fields
     * @return the fields
     * @throws TicketException when the text is malformed or not signed by this key
     */
    public List<String> read(String text, int count) throws TicketException {
        byte[] signed = decode(text);
        if (signed.length <= DeploymentKey.SIGNATURE_BYTES) {
            throw new TicketException(TicketException.Reason.MALFORMED, purpose + " is too short");
        }
        byte[] signature = Arrays.copyOf(signed, DeploymentKey.SIGNATURE_BYTES);
        byte[] content = Arrays.copyOfRange(signed, DeploymentKey.SIGNATURE_BYTES, signed.length);
        if (!key.verify(purpose, content, signature)) {
            throw new TicketException(
                    TicketException.Reason.FOREIGN, purpose + " was not signed with this deployment's key");
        }
        List<String> fields = List.of(new String(content, StandardCharsets.UTF_8).split(SEPARATOR, -1));
        if (fields.size() != count) {
            throw new TicketException(
                    TicketException.Reason.MALFORMED,
                    purpose + " has " + fields.size() + " fields instead of " + count);
        }
        return fields;
    }

    private byte[] decode(String text) throws TicketException {
        try {
            return DECODER.decode(text);
        } catch (IllegalArgumentException e) {
            throw new TicketException(TicketException.Reason.MALFORMED, purpose + " is not URL-safe Base64");
        }
    }
}
