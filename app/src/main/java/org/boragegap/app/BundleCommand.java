package org.boragegap.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.boragegap.core.bundle.Bundle;

/** Creates, signs and publishes configuration bundles, and shows the active one. */
final class BundleCommand implements Command {
    private static final int OK = 200;
    private static final int TIMEOUT = 504;

    /**
     * Creates the mapper on first use: every process instantiates all commands, and the mapper is
     * the most expensive part of them.
     */
    private static final class MapperHolder {
        private static final ObjectMapper MAPPER =
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    }

    @Override
    public String name() {
        return "bundle";
    }

    @Override
    public String usage() {
        return "new|keygen|sign|publish|status ...: configuration bundles";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        optionWithValue("operator", "HOST:PORT", "operator address of an entry VM"))
                .addOption(optionWithValue("key-file", "FILE", "file with the operators' key"))
                .addOption(
                        optionWithValue(
                                "body", "FILE", "new: the content, JSON with teams and kinds"))
                .addOption(
                        optionWithValue(
                                "parent", "ID", "new: publication in force; none for the first"))
                .addOption(
                        optionWithValue("version", "N", "new: one more than the version in force"))
                .addOption(optionWithValue("signer", "NAME", "sign: name of the key"))
                .addOption(
                        optionWithValue(
                                "private-key", "FILE", "sign, keygen: private key in base64"));
    }

    private static Option optionWithValue(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        List<String> arguments = line.getArgList();
        String action = arguments.isEmpty() ? "" : arguments.get(0);
        return switch (action) {
            case "new" -> create(line);
            case "keygen" -> generateKey(line);
            case "sign" -> sign(line, bundleFile(arguments));
            case "publish" -> publish(line, bundleFile(arguments));
            case "status" -> status(line);
            default -> throw new UsageException("expected new, keygen, sign, publish or status");
        };
    }

    private static Path bundleFile(List<String> arguments) throws UsageException {
        if (arguments.size() != 2) {
            throw new UsageException("expected one bundle FILE");
        }
        return Path.of(arguments.get(1));
    }

    private static String requiredOption(CommandLine line, String option) throws UsageException {
        if (!line.hasOption(option)) {
            throw new UsageException("--" + option + " is required");
        }
        return line.getOptionValue(option);
    }

    private ExitCode create(CommandLine line) throws Exception {
        String body = Files.readString(Path.of(requiredOption(line, "body")));
        long version;
        try {
            version = Long.parseLong(requiredOption(line, "version"));
        } catch (NumberFormatException e) {
            throw new UsageException("--version: expected a whole number");
        }
        String parent = line.getOptionValue("parent", "");
        String publication = UUID.randomUUID().toString();
        Bundle bundle = new Bundle(version, parent, publication, body, List.of());
        System.out.println(MapperHolder.MAPPER.writeValueAsString(bundle));
        return ExitCode.OK;
    }

    private static ExitCode generateKey(CommandLine line) throws Exception {
        KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        Base64.Encoder base64 = Base64.getEncoder();
        Files.writeString(
                Path.of(requiredOption(line, "private-key")),
                base64.encodeToString(pair.getPrivate().getEncoded()));
        System.out.println(base64.encodeToString(pair.getPublic().getEncoded()));
        return ExitCode.OK;
    }

    private ExitCode sign(CommandLine line, Path file) throws Exception {
        Bundle bundle = MapperHolder.MAPPER.readValue(Files.readString(file), Bundle.class);
        String keyText = Files.readString(Path.of(requiredOption(line, "private-key"))).trim();
        byte[] keyBytes = Base64.getDecoder().decode(keyText);
        PrivateKey key =
                KeyFactory.getInstance("Ed25519")
                        .generatePrivate(new PKCS8EncodedKeySpec(keyBytes));
        Signature signer = Signature.getInstance("Ed25519");
        signer.initSign(key);
        signer.update(bundle.signedText().getBytes(StandardCharsets.UTF_8));
        String value = Base64.getEncoder().encodeToString(signer.sign());
        List<Bundle.Signature> signatures = new ArrayList<>(bundle.signatures());
        signatures.add(new Bundle.Signature(requiredOption(line, "signer"), value));
        Bundle signed =
                new Bundle(
                        bundle.version(),
                        bundle.parent(),
                        bundle.publication(),
                        bundle.body(),
                        signatures);
        Files.writeString(file, MapperHolder.MAPPER.writeValueAsString(signed));
        return ExitCode.OK;
    }

    private static ExitCode publish(CommandLine line, Path file) throws Exception {
        requiredOption(line, "operator");
        HttpResponse<String> response =
                CliHttpClient.sendToOperator(line, "POST", "/v1/bundles", Files.readString(file));
        System.out.println(response.body());
        if (response.statusCode() == OK) {
            return ExitCode.OK;
        }
        return response.statusCode() == TIMEOUT ? ExitCode.UNKNOWN : ExitCode.FAILED;
    }

    private static ExitCode status(CommandLine line) throws Exception {
        requiredOption(line, "operator");
        HttpResponse<String> response =
                CliHttpClient.sendToOperator(line, "GET", "/v1/bundles", "");
        System.out.println(response.body());
        return response.statusCode() == OK ? ExitCode.OK : ExitCode.FAILED;
    }
}
