package org.boragegap.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.bundle.Bundle;
import org.boragegap.core.bundle.BundleContent;
import org.boragegap.core.bundle.CheckedBundle;

/**
 * Checks a bundle's signatures and reads its body. The result depends only on the bundle and on the
 * settings for bundles, so all processes with the same settings agree on it.
 */
public final class BundleChecker {
    private static final ObjectMapper sMapper =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final Map<String, PublicKey> mSigners;
    private final long mRequiredSignatures;

    private BundleChecker(Map<String, PublicKey> signers, long requiredSignatures) {
        mSigners = signers;
        mRequiredSignatures = requiredSignatures;
    }

    /**
     * Creates a checker.
     *
     * @param signers {@code name=key} pairs separated by commas
     * @param requiredSignatures how many of these signers must have signed a bundle
     * @throws EntryException if a key can't be read
     */
    public static BundleChecker create(String signers, long requiredSignatures)
            throws EntryException {
        Map<String, PublicKey> keys = new LinkedHashMap<>();
        for (String pair : signers.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                keys.put(
                        pair.substring(0, equals).trim(),
                        decodeKey(pair.substring(equals + 1).trim()));
            }
        }
        return new BundleChecker(keys, requiredSignatures);
    }

    private static PublicKey decodeKey(String base64) throws EntryException {
        try {
            byte[] bytes = Base64.getDecoder().decode(base64);
            return KeyFactory.getInstance("Ed25519").generatePublic(new X509EncodedKeySpec(bytes));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new EntryException("[bundles] signers: not an Ed25519 key: " + base64, e);
        }
    }

    /** Checks a bundle; one that is not valid is returned with the reason. */
    public CheckedBundle check(Bundle bundle) {
        if (validSigners(bundle).size() < mRequiredSignatures) {
            String problem = "needs valid signatures of " + mRequiredSignatures + " known signers";
            return CheckedBundle.invalid(bundle, problem);
        }
        BundleContent content;
        try {
            content = sMapper.readValue(bundle.body(), BundleContent.class);
        } catch (JsonProcessingException e) {
            return CheckedBundle.invalid(bundle, "body can't be read: " + e.getOriginalMessage());
        }
        if (content == null || content.teams() == null || content.kinds() == null) {
            return CheckedBundle.invalid(bundle, "body must have teams and kinds");
        }
        Optional<String> problem = content.problem();
        if (problem.isPresent()) {
            return CheckedBundle.invalid(bundle, problem.get());
        }
        return CheckedBundle.valid(bundle, content);
    }

    private Set<String> validSigners(Bundle bundle) {
        byte[] text = bundle.signedText().getBytes(StandardCharsets.UTF_8);
        Set<String> verified = new HashSet<>();
        for (Bundle.Signature signature : bundle.signatures()) {
            PublicKey key = mSigners.get(signature.signer());
            if (key != null && verifies(key, text, signature.value())) {
                verified.add(signature.signer());
            }
        }
        return verified;
    }

    private static boolean verifies(PublicKey key, byte[] text, String value) {
        try {
            Signature verifier = Signature.getInstance("Ed25519");
            verifier.initVerify(key);
            verifier.update(text);
            return verifier.verify(Base64.getDecoder().decode(value));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }
}
