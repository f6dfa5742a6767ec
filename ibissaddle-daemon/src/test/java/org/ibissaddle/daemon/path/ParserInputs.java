package org.ibissaddle.daemon.path;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.daemon.settings.SettingsReader;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.GossipCodec;
import org.ibissaddle.membership.ListAnswer;
import org.ibissaddle.membership.ListRequest;
import org.ibissaddle.membership.MessageRejectedException;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.stream.ChunkPosition;
import org.ibissaddle.stream.StreamTokenCodec;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.TicketCodec;
import org.ibissaddle.ticket.TicketException;
import org.ibissaddle.timeline.HybridTimestamp;
import org.ibissaddle.timeline.TimelineFormatException;
import org.ibissaddle.timeline.TimelineJson;

/** Parsers of input from the network or from operators, each with a valid input to mutate. */
enum ParserInputs {
    SETTINGS(readExample("cooperative/ub-1-a.ini")) {
        @Override
        void parse(byte[] input) {
            try {
                SettingsReader.read("fuzz", text(input));
            } catch (SettingsException e) {
                check(!e.errors().isEmpty(), "the exception describes no error");
            }
        }
    },
    NOTE(readExample("cooperative/note.ini")) {
        @Override
        void parse(byte[] input) {
            try {
                ReleaseNote note = NoteReader.read(text(input));
                check(
                        NoteReader.read(NoteWriter.write(note)).equals(note),
                        "a release note changes when it is written and read again");
            } catch (NoteRejectedException e) {
                check(!e.getMessage().isBlank(), "the exception describes no error");
            }
        }
    },
    MODEL_CALL(
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}") {
        @Override
        void parse(byte[] input) {
            try {
                ModelCall call = ModelCallReader.read(input);
                check(call.maxTokens() > 0, "the maximum number of tokens is not positive");
            } catch (RefusedException e) {
                check(e.refusal().type().status() == 400, "a malformed call is not refused with status 400");
            }
        }
    },
    TICKET("AQx1Yi0xLWEAAAABAAAAAgAAAAMEbGVkZ2VyAAAAAAAA.c2lnbmF0dXJl") {
        @Override
        void parse(byte[] input) {
            try {
                TicketCodec.withKey(KEY).read(text(input));
                throw new AssertionError("a ticket without a valid signature was accepted");
            } catch (TicketException e) {
                check(!e.getMessage().isBlank(), "the exception describes no error");
            }
        }
    },
    STREAM_TOKEN("AQx1Yi0xLWEAAAABAAAAAgAAAAMEbGVkZ2VyAAAAAAAA.c2lnbmF0dXJl") {
        @Override
        void parse(byte[] input) {
            try {
                new StreamTokenCodec(KEY).read(text(input));
                throw new AssertionError("a stream token without a valid signature was accepted");
            } catch (TicketException e) {
                check(!e.getMessage().isBlank(), "the exception describes no error");
            }
        }
    },
    GOSSIP("{\"f\":{\"i\":\"ub-1-a\"},\"n\":{},\"l\":{},\"a\":5,\"m\":[],\"s\":[],\"d\":[],\"p\":[]}") {
        @Override
        void parse(byte[] input) {
            for (Class<?> type :
                    List.of(Gossip.class, NoteRequest.class, NoteAnswer.class, ListRequest.class, ListAnswer.class)) {
                try {
                    GossipCodec.decode(input, type);
                } catch (MessageRejectedException e) {
                    check(!e.getMessage().isBlank(), "the exception describes no error");
                }
            }
        }
    },
    TIMELINE("{\"origin\":{\"instance\":\"a\",\"incarnation\":\"1-2\",\"region\":\"n\",\"zone\":\"z\"},\"next\":1,"
            + "\"entries\":[]}") {
        @Override
        void parse(byte[] input) {
            try {
                TimelineJson.read(text(input));
            } catch (TimelineFormatException e) {
                check(e.getMessage().contains("timeline"), "the message does not mention the time line");
            }
        }
    },
    STAMP_AND_PIECE("loyw3v28.a") {
        @Override
        void parse(byte[] input) {
            HybridTimestamp.parse(text(input))
                    .ifPresent(stamp -> check(
                            HybridTimestamp.parse(stamp.toString())
                                    .orElseThrow()
                                    .equals(stamp),
                            "a stamp changes when it is written and parsed again"));
            ChunkPosition.parse(text(input));
        }
    };

    private static final DeploymentKey KEY =
            DeploymentKey.of("a-key-for-fuzzing-only-1".getBytes(StandardCharsets.UTF_8));
    private static final int MAX_EDITS = 6;
    private static final int MAX_RANDOM_BYTES = 200;
    private static final String[] INSERTED_TOKENS = {
        "{",
        "}",
        "[",
        "]",
        "\"",
        ":",
        ",",
        "null",
        "-1",
        "1e999",
        "\n[note]\n",
        "=",
        ";",
        "\\u0000",
        "\\",
        "${x}",
        "99999999999999999999",
        "\n",
        "\u0000",
        "..",
        "home = ",
        "true"
    };

    private final String validInput;

    ParserInputs(String validInput) {
        this.validInput = validInput;
    }

    /** Parses an input; throws only if the parser violates its contract. */
    abstract void parse(byte[] input);

    /** Generates an input: random bytes, or the valid input with a few edits. */
    byte[] input(SplittableRandom random) {
        if (random.nextInt(4) == 0) {
            byte[] randomBytes = new byte[random.nextInt(MAX_RANDOM_BYTES)];
            random.nextBytes(randomBytes);
            return randomBytes;
        }
        StringBuilder text = new StringBuilder(validInput);
        for (int edits = 1 + random.nextInt(MAX_EDITS); edits > 0; edits--) {
            edit(text, random);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void edit(StringBuilder text, SplittableRandom random) {
        int from = random.nextInt(text.length() + 1);
        int to = Math.min(text.length(), from + random.nextInt(12));
        switch (random.nextInt(4)) {
            case 0 -> text.delete(from, to);
            case 1 -> text.insert(from, INSERTED_TOKENS[random.nextInt(INSERTED_TOKENS.length)]);
            case 2 -> text.insert(random.nextInt(text.length() + 1), text.substring(from, to));
            default -> text.replace(from, to, String.valueOf((char) random.nextInt(0x250)));
        }
    }

    private static String text(byte[] input) {
        return new String(input, StandardCharsets.UTF_8);
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    private static String readExample(String name) {
        try {
            return Files.readString(Path.of("..", "examples").resolve(name));
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
