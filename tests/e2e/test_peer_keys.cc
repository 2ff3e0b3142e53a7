#include <gtest/gtest.h>
#include <zmq.h>

#include <memory>

#include "fleet.h"

using namespace e2e;

namespace
{

struct PeerKeys {
	char public_key[41], secret_key[41];

	PeerKeys()
	{
		EXPECT_EQ(zmq_curve_keypair(public_key, secret_key), 0);
	}
	std::string settings() const
	{
		return std::string("peer.public_key = \"") + public_key +
		    "\"\npeer.secret_key = \"" + secret_key + "\"\n";
	}
};

bool
has_metric(Fleet &fleet, const std::string &line)
{
	return send_request("GET", fleet.daemons[0].admin_url("/metrics"))
		   .body.find("\nbamboorudder_" + line) != std::string::npos;
}

/* Sends bytes to the first daemon, with or without keys. */
class RawPeer
{
      public:
	RawPeer(const Fleet &fleet, const PeerKeys *own_keys,
	    const PeerKeys *server_keys)
	    : context_(zmq_ctx_new()), socket_(zmq_socket(context_, ZMQ_DEALER))
	{
		int linger = 0;

		zmq_setsockopt(socket_, ZMQ_LINGER, &linger, sizeof(linger));
		if (own_keys != nullptr) {
			zmq_setsockopt(socket_, ZMQ_CURVE_SERVERKEY,
			    server_keys->public_key, 41);
			zmq_setsockopt(socket_, ZMQ_CURVE_PUBLICKEY,
			    own_keys->public_key, 41);
			zmq_setsockopt(socket_, ZMQ_CURVE_SECRETKEY,
			    own_keys->secret_key, 41);
		}
		zmq_connect(socket_,
		    ("tcp://" + fleet.daemons[0].peer_address()).c_str());
	}
	~RawPeer()
	{
		zmq_close(socket_);
		zmq_ctx_term(context_);
	}
	void send(const std::string &bytes)
	{
		zmq_send(socket_, bytes.data(), bytes.size(), ZMQ_DONTWAIT);
	}

      private:
	void *context_, *socket_;
};

} // namespace

TEST(PeerKeys, FleetWithKeysCountsAndIgnoresUntrustedPeers)
{
	PeerKeys fleet_keys, other_keys;
	Fleet fleet(fleet_keys.settings());

	fleet.add_daemons(2);
	EXPECT_TRUE(
	    eventually([&] { return has_metric(fleet, "members_live 2\n"); }));
	EXPECT_TRUE(has_metric(fleet, "peer_strangers_total 0\n"));
	RawPeer other(fleet, &other_keys, &fleet_keys);
	other.send("not for you");
	EXPECT_TRUE(eventually(
	    [&] { return !has_metric(fleet, "peer_strangers_total 0\n"); }));
	RawPeer keyless(fleet, nullptr, nullptr);
	keyless.send("not for you");
	RawPeer member(fleet, &fleet_keys, &fleet_keys);
	member.send("no message");
	EXPECT_TRUE(eventually(
	    [&] { return has_metric(fleet, "peer_malformed_total 1\n"); }));
	EXPECT_TRUE(has_metric(fleet, "members_live 2\n"));
}

TEST(PeerKeys, FleetAcceptsGeneratedKeys)
{
	Fleet fleet;
	Process generator({ getenv("BAMBOORUDDERD"), "--generate-keys" },
	    fleet.directory + "/keys");

	EXPECT_EQ(generator.wait(), 0);
	Fleet keyed_fleet(generator.log());
	keyed_fleet.add_daemons(2);
	EXPECT_TRUE(eventually(
	    [&] { return has_metric(keyed_fleet, "members_live 2\n"); }));
}
