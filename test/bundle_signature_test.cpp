#include "bundle.hpp"

#include "property.hpp"

#include <string>

using namespace gooseberrywood;

SCENARIO("a bundle is accepted only with the operators' signature")
{
    GIVEN("a known key pair")
    {
        // First test vector of RFC 8032, section 7.1; guards against another algorithm or byte
        // order.
        std::string const public_key =
            "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a";
        std::string const secret_key =
            "9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60" + public_key;
        auto const signature = bundle::sign("", secret_key);
        REQUIRE(signature.has_value());
        CHECK(*signature == "e5564300c360ac729086e2cc806e828a84877f1eb8e5d974d873e065224901555fb88"
                            "21590a33bacc61e39701cf9b46bd25bf5f0595bbe24655141438e7a100b");
        CHECK(bundle::verify("", *signature, public_key));
    }
    GIVEN("a new key pair")
    {
        auto const keys = bundle::make_key_pair();
        std::string const text = "version = 7\n";
        auto const signature = *bundle::sign(text, keys.secret_key);
        CHECK(bundle::verify(text, signature, keys.public_key));
        CHECK_FALSE(bundle::verify(text, signature, bundle::make_key_pair().public_key));
        // Guards against a signature that survives a change of the text or of itself.
        test::check_property(
            "one changed bit makes the signature invalid",
            [&](std::uint16_t bit)
            {
                auto const flip = [&](std::string bytes)
                {
                    auto& byte = bytes[bit / 8 % bytes.size()];
                    byte = static_cast<char>(byte ^ (1 << (bit % 8)));
                    return bytes;
                };
                RC_ASSERT_FALSE(bundle::verify(flip(text), signature, keys.public_key));
                // Bit 5 is only the case of a hexadecimal letter.
                if (bit % 8 != 5)
                {
                    RC_ASSERT_FALSE(bundle::verify(text, flip(signature), keys.public_key));
                }
            });
    }
    GIVEN("malformed keys and signatures")
    {
        auto const keys = bundle::make_key_pair();
        for (std::string const& wrong :
             {std::string(), std::string("xy"), keys.public_key + "zz", std::string(128, 'g'),
              keys.secret_key + "00",
              keys.secret_key.substr(0, 64) + bundle::make_key_pair().public_key})
        {
            CAPTURE(wrong);
            CHECK_FALSE(bundle::sign("a", wrong).has_value());
            CHECK_FALSE(bundle::verify("a", wrong, keys.public_key));
            CHECK_FALSE(bundle::verify("a", *bundle::sign("a", keys.secret_key), wrong));
        }
    }
}
