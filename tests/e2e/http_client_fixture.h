/**
 * @file
 * The HTTP client of the programs, in the process of the test, before a scripted
 * server.
 */
#ifndef TESTS_E2E_HTTP_CLIENT_FIXTURE_H
#define TESTS_E2E_HTTP_CLIENT_FIXTURE_H

#include <gtest/gtest.h>

#include <string>

#include "scripted_endpoint.h"

extern "C" {
/* C++ has no _Atomic; the layout is the same without it, and the test uses no
 * atomic field */
#define _Atomic
#include "common/http_client.h"
#undef _Atomic
}

namespace e2e
{

constexpr uint32_t CLIENT_TIMEOUT_MS = 10000;

class HttpClient : public ::testing::Test
{
      protected:
	/** @return whether a complete response came */
	bool perform()
	{
		std::string url = "http://" + server.address() + "/objects/a";
		http_request request = {};
		GError *error = nullptr;

		request.method = "GET";
		request.url = url.c_str();
		request.timeout_ms = CLIENT_TIMEOUT_MS;
		if (http_perform(&request, &response, &error) != FALSE) {
			http_response_finish(&response);
			return true;
		}
		g_error_free(error);
		return false;
	}

	ScriptedEndpoint server;
	http_response response = {};
};

} // namespace e2e

#endif
