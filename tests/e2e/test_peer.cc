#include <gtest/gtest.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <string>

extern "C" {
#include "bamboorudderd/peer.h"
}

#include "fleet.h"

namespace
{

void
count_message(void *context, const void *, size_t)
{
	++*static_cast<int *>(context);
}

} // namespace

/* The descriptor of the library is edge-triggered: messages that one call
 * leaves unread must be delivered by the next call, although no new message
 * arrives. */
TEST(Peer, DeliversABurstThatExceedsTheLimitOfOneCall)
{
	const int burst_count = 1000;
	std::string address = "127.0.0.1:" + std::to_string(e2e::free_port());
	std::string sender_address = "127.0.0.1:" +
	    std::to_string(e2e::free_port());
	peer_zmq_config config = { address.c_str(), "", "" };
	peer_zmq_config sender_config = { sender_address.c_str(), "", "" };
	peer receiver = {}, sender = {};
	int wake_fd = eventfd(0, EFD_NONBLOCK), received_count = 0;

	ASSERT_TRUE(peer_init_zmq(&receiver, &config, nullptr));
	ASSERT_TRUE(peer_init_zmq(&sender, &sender_config, nullptr));
	for (int i = 0; i < burst_count; i++)
		EXPECT_TRUE(sender.ops->send(&sender, address.c_str(), "m", 1));
	for (int i = 0; i < 100 && received_count < burst_count; i++)
		receiver.ops->wait(&receiver, wake_fd, 100, count_message,
		    &received_count);
	EXPECT_EQ(received_count, burst_count);
	sender.ops->finish(&sender);
	receiver.ops->finish(&receiver);
	close(wake_fd);
}

TEST(Peer, ReturnsFromWaitWhenWakeFdIsReadable)
{
	std::string address = "127.0.0.1:" + std::to_string(e2e::free_port());
	peer_zmq_config config = { address.c_str(), "", "" };
	peer receiver = {};
	int wake_fd = eventfd(0, EFD_NONBLOCK), received_count = 0;
	uint64_t one = 1;

	ASSERT_TRUE(peer_init_zmq(&receiver, &config, nullptr));
	ASSERT_EQ(write(wake_fd, &one, sizeof(one)), (ssize_t)sizeof(one));
	for (int i = 0; i < 3; i++)
		receiver.ops->wait(&receiver, wake_fd, 60000, count_message,
		    &received_count);
	EXPECT_EQ(received_count, 0);
	receiver.ops->finish(&receiver);
	close(wake_fd);
}
